import assert from 'node:assert/strict';
import { test } from 'node:test';

import { readLosses, type Losses } from './losses.js';

/** Returns a log line with the given time and fields. */
function line(second: number, fields: Record<string, unknown>): string {
  const time = new Date(second * 1_000).toISOString();
  return JSON.stringify({ level: 30, time, host: 'h1', ...fields });
}

function accepted(second: number, job: string): string {
  const result = { kind: 'recorded' };
  const fields = { job, queue: 'q', change: 'submit', result };
  return line(second, { ...fields, msg: 'jobs: answered' });
}

function answered(
  second: number,
  job: string,
  coreMs: number,
  kind = 'recorded',
): string {
  const fields = { job, queue: 'q', coreMs, change: 'submit' };
  const msg = 'jobs: answered';
  return line(second, { ...fields, result: { kind }, msg });
}

function ordered(second: number, task: string, run = 1): string {
  return line(second, { task, run, msg: 'leader: a run is ordered' });
}

function ended(second: number, task: string, how: string, run = 1): string {
  const msg = 'leader: a run has ended';
  return line(second, { task, run, how, expectedMs: 1_000, msg });
}

function finished(second: number, job: string, objectiveMs: number): string {
  const fields = { job, queue: 'q', status: 'completed', objectiveMs };
  return line(second, { ...fields, msg: 'leader: a job is over' });
}

function fleetAccount(second: number, reason: string): string {
  const waiting = { q: { [reason]: 3 } };
  return line(second, { waiting, msg: 'leader: the fleet' });
}

function phasesOf(...lines: string[]): Record<string, number> {
  const [queue] = readLosses([lines.join('\n')]).queues;
  return Object.fromEntries(
    (queue?.phases ?? []).map(({ phase, seconds }) => [phase, seconds]),
  );
}

function outcomesOf({ queues }: Losses): unknown {
  return queues.map(({ jobs, inTime, late, unfinished }) => ({
    jobs,
    inTime,
    late,
    unfinished,
  }));
}

test('a late job shows the reason of its wait', () => {
  const lines = [
    accepted(0, 'j'),
    fleetAccount(0, 'processors'),
    fleetAccount(1, 'processors'),
    ordered(2, 'j.0.0.0'),
    ended(3, 'j.0.0.0', 'done'),
    finished(3, 'j', 1_500),
  ];
  assert.deepEqual(phasesOf(...lines), {
    'waiting: processors': 2,
    running: 1,
  });
});

// Guards against a lack of capacity that is counted as another reason, because most tasks waited for that one.
test('a wait is divided among the reasons of the tasks that waited', () => {
  const waiting = { q: { turn: 1, processors: 3 } };
  const lines = [
    accepted(0, 'j'),
    line(0, { waiting, msg: 'leader: the fleet' }),
    ordered(1, 'j.0.0.0'),
    ended(2, 'j.0.0.0', 'done'),
    finished(2, 'j', 1_500),
  ];
  assert.deepEqual(phasesOf(...lines), {
    'waiting: turn': 0.25,
    'waiting: processors': 0.75,
    running: 1,
  });
});

// Guards against waits that no account explains being counted as `turn`.
test('a wait that the account does not mention is not counted as another one', () => {
  const lines = [
    accepted(0, 'j'),
    line(0, { waiting: {}, msg: 'leader: the fleet' }),
    ordered(1, 'j.0.0.0'),
    ended(2, 'j.0.0.0', 'done'),
    finished(2, 'j', 1_500),
  ];
  assert.deepEqual(phasesOf(...lines), {
    'waiting: not accounted': 1,
    running: 1,
  });
});

test('time of a failed run counts as run again', () => {
  const lines = [
    accepted(0, 'j'),
    ordered(0, 'j.0.0.0'),
    ended(2, 'j.0.0.0', 'failed'),
    ordered(2, 'j.0.0.0', 2),
    ended(3, 'j.0.0.0', 'done', 2),
    finished(3, 'j', 1_500),
  ];
  assert.deepEqual(phasesOf(...lines), {
    'run again after a failure': 2,
    running: 1,
  });
});

test('time of a run lost with its worker counts as run again', () => {
  const lines = [
    accepted(0, 'j'),
    ordered(0, 'j.0.0.0'),
    ended(2, 'j.0.0.0', 'lost'),
    ordered(2, 'j.0.0.0', 2),
    ended(3, 'j.0.0.0', 'done', 2),
    finished(3, 'j', 1_500),
  ];
  assert.deepEqual(phasesOf(...lines), {
    'run again after a lost worker or lease': 2,
    running: 1,
  });
});

test('time of a run beyond its expected time counts as slowed', () => {
  const lines = [
    accepted(0, 'j'),
    ordered(0, 'j.0.0.0'),
    ended(4, 'j.0.0.0', 'done'),
    finished(4, 'j', 1_500),
  ];
  assert.deepEqual(phasesOf(...lines), { slowed: 3, running: 1 });
});

test('a wait without a fleet account counts as leader absent', () => {
  const lines = [
    accepted(0, 'j'),
    ordered(4, 'j.0.0.0'),
    ended(5, 'j.0.0.0', 'done'),
    finished(5, 'j', 1_500),
  ];
  assert.deepEqual(phasesOf(...lines), { 'leader absent': 4, running: 1 });
});

test('only runs on the critical path count', () => {
  const lines = [
    accepted(0, 'j'),
    ordered(0, 'j.0.0.0'),
    ordered(0, 'j.0.0.1'),
    ended(1, 'j.0.0.0', 'done'),
    ended(1, 'j.0.0.1', 'done'),
    ordered(1, 'j.0.1.0'),
    ended(2, 'j.0.1.0', 'done'),
    finished(2, 'j', 1_500),
  ];
  assert.deepEqual(phasesOf(...lines), { running: 2 });
});

test('jobs are counted by outcome', () => {
  const text = [
    accepted(0, 'early'),
    accepted(0, 'late'),
    accepted(0, 'never'),
    finished(1, 'early', 1_500),
    finished(9, 'late', 1_500),
  ].join('\n');
  assert.deepEqual(outcomesOf(readLosses([text])), [
    { jobs: 3, inTime: 1, late: 1, unfinished: 1 },
  ]);
});

test('truncated and foreign lines are listed, and the others are read', () => {
  const text = [
    'not a line of a host',
    accepted(0, 'j'),
    '{"time":"2026-01-01T00:00:00.000Z","msg":"jobs: ans',
    '{"version":9}',
    finished(1, 'j', 1_500),
  ].join('\n');
  const found = readLosses([text]);
  assert.deepEqual(found.unread, [1, 3, 4]);
  assert.deepEqual(outcomesOf(found), [
    { jobs: 1, inTime: 1, late: 0, unfinished: 0 },
  ]);
});

test('jobs are grouped by size, including those that were not accepted', () => {
  const small = Array.from({ length: 7 }, (_, at) => `small${at}`);
  const text = [
    ...small.map(job => answered(0, job, 1_000)),
    ...small.map(job => finished(1, job, 1_500)),
    answered(0, 'large', 5_000, 'unknown'),
    ordered(1, 'large.0.0.0'),
    ended(2, 'large.0.0.0', 'done'),
    answered(0, 'larger', 6_000),
    answered(0, 'largest', 9_000),
    finished(9, 'largest', 1_500),
  ].join('\n');
  const [queue] = readLosses([text]).queues;
  const none = { inTime: 0, late: 0, unfinished: 0, notAccepted: 0 };
  assert.deepEqual(queue?.sizes, [
    { ...none, size: 'largest tenth', asked: 1, late: 1 },
    {
      ...none,
      size: 'next largest fifth',
      asked: 2,
      unfinished: 1,
      notAccepted: 1,
    },
    { ...none, size: 'smaller', asked: 7, inTime: 7 },
  ]);
});

test('failed jobs are counted once by reason, with how the workers were lost', () => {
  const msg = 'leader: a job has failed';
  const lost = { reason: 'workers_lost', msg };
  const crashed = { lossKind: 'crashed' };
  const lines = [
    line(1, { ...lost, job: 'j', epoch: 1, losses: [crashed] }),
    line(2, { ...lost, job: 'j', epoch: 2, losses: [{}, crashed, crashed] }),
    line(3, { ...lost, job: 'k', losses: [{ lossKind: 'unknown' }] }),
    line(4, { reason: 'attempts_spent', msg, job: 'm', losses: [] }),
  ];
  assert.deepEqual(readLosses([lines.join('\n')]).failures, [
    { reason: 'attempts_spent', jobs: 1, lossKinds: {} },
    {
      reason: 'workers_lost',
      jobs: 2,
      lossKinds: { 'judged by another leader': 1, crashed: 2, unknown: 1 },
    },
  ]);
});
