import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'node:test';

import { readEvidence } from './evidence.js';

const TASK = '00000000000000a1.0.0.1';

function lineOf(atMs: number, fields: object): string {
  const time = new Date(Math.round(performance.timeOrigin) + atMs);
  return JSON.stringify({
    time: time.toISOString(),
    host: 'host-1',
    ...fields,
  });
}

const LINES = [
  lineOf(10, { epoch: 64, msg: 'leadership: this host leads' }),
  lineOf(9_000, {
    worker: 'i-1',
    reason: 'unanswered',
    msg: 'worker: its runs are given up',
  }),
  lineOf(9_001, {
    task: TASK,
    run: 1,
    worker: 'i-1',
    epoch: 64,
    failures: 2,
    how: 'lost',
    suspicion: 'doubtful',
    age: { from: 0, to: 900 },
    noise: 0.25,
    msg: 'leader: a run has ended',
  }),
  lineOf(9_002, {
    task: TASK,
    workers: ['i-1'],
    msg: 'leader: a task is given up, workers were lost under it',
  }),
  lineOf(9_003, {
    reason: 'stale',
    msg: 'worker: a start that waited is not sent',
  }),
  '{"level":30,"time":"2026-12-0',
];

function evidenceOf(crashes: readonly [string, number][]) {
  const directory = mkdtempSync(join(tmpdir(), 'paddlewind-evidence-'));
  writeFileSync(join(directory, 'host-1.1.log'), LINES.join('\n'));
  const record = crashes.map(
    ([id, at]) => [id, { at, cause: 'fault' }] as const,
  );
  try {
    return readEvidence(directory, { crashes: new Map(record), fleetSize: 4 });
  } finally {
    rmSync(directory, { recursive: true });
  }
}

test('a lost run is told with its reason and the crash of its worker', () => {
  const { lost, leaders, unsent, attempts } = evidenceOf([
    ['i-1', 6_000],
    ['i-2', 8_000],
    ['i-3', 9_500],
  ]);
  const [run] = lost;
  assert.equal(lost.length, 1);
  assert.equal(run?.reason, 'unanswered');
  assert.match(run.crash, /^fault 300[0-2] ms before$/u);
  assert.equal(run.crashShare, 0.5);
  assert.equal(run.superseded, false);
  assert.equal(leaders, 1);
  assert.deepEqual(unsent, { stale: 1 });
  assert.equal(attempts.get(TASK), 2);
});

test('a worker that did not crash is told to be alive', () => {
  const { lost, givenUp } = evidenceOf([]);
  assert.equal(lost[0]?.crash, 'alive');
  assert.equal(lost[0].crashShare, 0);
  assert.deepEqual(
    givenUp.map(({ task }) => task),
    [TASK],
  );
});
