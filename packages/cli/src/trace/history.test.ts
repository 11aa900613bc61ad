import assert from 'node:assert/strict';
import { test } from 'node:test';

import { readHistory } from './history.js';

const ID = '702d779f02b6262a';

function line(second: number, fields: Record<string, unknown>): string {
  const time = new Date(second * 1000).toISOString();
  return JSON.stringify({ level: 30, time, host: 'h1', ...fields });
}

function answered(second: number, kind: string, reason?: string): string {
  return line(second, {
    job: ID,
    change: 'submit',
    result: { kind, reason },
    msg: 'jobs: answered',
  });
}

function run(second: number, msg: string, how?: string): string {
  return line(second, { task: `${ID}.0.0.1`, run: 1, how, msg });
}

test('reports a refusal with its reason', () => {
  const text = answered(1, 'refused', 'the log does not answer this host');
  assert.deepEqual(readHistory(ID, [text]).causes, [
    'refused by h1 and not run: the log does not answer this host',
  ]);
});

test('a refusal is no cause if another host accepted the job', () => {
  const texts = [
    answered(1, 'refused', 'busy'),
    answered(2, 'recorded'),
    run(2, 'leader: a run is ordered'),
    run(3, 'leader: a run has ended', 'done'),
  ];
  assert.deepEqual(readHistory(ID, texts).causes, []);
});

test('sorts the lines of several hosts by time', () => {
  const first = run(5, 'leader: a run has ended', 'done');
  const second = answered(1, 'recorded');
  const { lines } = readHistory(ID, [first, second]);
  assert.deepEqual(
    lines.map(({ msg }) => msg),
    ['jobs: answered', 'leader: a run has ended'],
  );
});

test('reports a wait for capacity and lost runs', () => {
  const texts = [
    answered(1, 'recorded'),
    run(4, 'leader: a run is ordered'),
    run(5, 'leader: a run has ended', 'lapsed'),
    run(6, 'leader: a run has ended', 'lapsed'),
  ];
  assert.deepEqual(readHistory(ID, texts).causes, [
    'waited 3.0 s for room before its first run',
    '2 runs ended as lapsed',
  ]);
});

test('ignores other jobs, other lines and text before the JSON', () => {
  const other = line(1, { job: 'ffffffffffffffff', msg: 'jobs: answered' });
  const text = `no json ${ID}\n12.5 h1 ${answered(1, 'recorded')}\n${other}`;
  assert.equal(readHistory(ID, [text]).lines.length, 1);
});

test('lists the workers that an abandoned task lost', () => {
  const task = `${ID}.0.0.1`;
  const lost = (second: number, worker: string, suspicion: string): string =>
    line(second, {
      task,
      worker,
      how: 'lost',
      suspicion,
      msg: 'leader: a run has ended',
    });
  const texts = [
    answered(1, 'recorded'),
    run(1, 'leader: a run is ordered'),
    lost(4, 'i-1', 'shared'),
    lost(8, 'i-2', 'sole'),
  ];
  const lostRuns = '2 runs ended as lost';
  assert.deepEqual(readHistory(ID, texts).causes, [
    lostRuns,
    `task ${task} lost its worker 2 times: i-1 (shared), i-2 (sole)`,
  ]);
  const msg = 'leader: a task is given up, workers were lost under it';
  const abandoned = line(9, { task, workers: ['i-1', 'i-2'], msg });
  assert.deepEqual(readHistory(ID, [...texts, abandoned]).causes, [
    lostRuns,
    `task ${task} was given up, lost its worker 2 times: i-1 (shared), i-2 (sole)`,
  ]);
});

test('marks the lost workers of a task that have restarted', () => {
  const task = `${ID}.0.0.1`;
  const texts = [
    answered(1, 'recorded'),
    run(1, 'leader: a run is ordered'),
    run(2, 'leader: a run is at a later start of its worker'),
    line(4, {
      worker: 'i-1@1700',
      by: 'i-1@1800',
      msg: 'fleet: a worker has started again',
    }),
    line(4, {
      task,
      worker: 'i-1@1700',
      how: 'lost',
      suspicion: 'shared',
      msg: 'leader: a run has ended',
    }),
  ];
  assert.deepEqual(readHistory(ID, texts).causes, [
    '1 runs ended as lost',
    '1 runs began only after their workers had started again',
    `task ${task} lost its worker 1 times: i-1@1700 (shared, started again)`,
  ]);
});

test('tells why a job has failed, from the line of the leader that decided it', () => {
  const judged = {
    run: 2,
    epoch: 192,
    msAgo: 1_500,
    worker: 'i-2',
    suspicion: 'doubtful',
    lossKind: 'unknown',
    reason: 'unanswered',
    presence: 'registered',
    silentWorkers: 4,
    othersLost: 3,
  };
  const restated = { worker: 'i-1', suspicion: 'sole', msAgo: 'unknown' };
  const earlier = { ...restated, run: 1, msAgo: 9_000, epoch: 128 };
  const text = line(9, {
    job: ID,
    task: `${ID}.0.0.1`,
    epoch: 192,
    reason: 'workers_lost',
    failures: 1,
    maxAttempts: 3,
    failedRuns: [{ run: 3, worker: 'i-3', msAgo: 20 }],
    losses: [restated, earlier, judged],
    msg: 'leader: a job has failed',
  });
  assert.deepEqual(readHistory(ID, [text]).causes, [
    `failed by h1 in epoch 192, workers_lost: task ${ID}.0.0.1 has failed 1 of 3 times (runs 3 under this leader), and 3 losses of workers count`,
    'counted: i-1 under run unknown, at an unknown time, sole, judged by another leader',
    'counted: i-1 under run 1, 9.0 s before, sole, judged by another leader',
    'counted: i-2 under run 2, 1.5 s before, doubtful, judged unknown (unanswered, registered) with 3 other workers lost and 4 silent',
  ]);
});

test('tells that a job is shown as failed of which no leader tells why', () => {
  const fields = { job: ID, reason: 'workers_lost', epoch: 192 };
  const texts = [
    line(1, { ...fields, msg: 'replica: a job has failed' }),
    line(2, {
      ...fields,
      source: 'journal',
      msg: 'jobs: a job is shown as failed',
    }),
  ];
  assert.deepEqual(readHistory(ID, texts).causes, [
    'failed by the journal at h1, workers_lost, in epoch 192: no leader tells why',
  ]);
});
