import assert from 'node:assert/strict';
import { test } from 'node:test';

import { accountFleet, OTHER_QUEUES, type FleetAccount } from './account.js';
import type { JobsState } from './jobs-state.js';
import type { PlanWorker } from './placement.js';
import type { StepSpec } from './spec.js';
import {
  planInput,
  startOn,
  stateOf,
  taskOf,
  testJob,
  testWorker,
} from './test-support.js';

const WHOLE = { cpuMilli: 4_000, memoryMiB: 100, accelerators: 0 };

function account(
  state: JobsState,
  workers: readonly PlanWorker[],
): FleetAccount {
  return accountFleet({
    plan: planInput(state, workers),
    registered: workers.map(({ info }) => info),
  });
}

/** Why the tasks of a step wait on one worker that a lasting task takes half of. */
function reasonsFor(step: Partial<StepSpec>): unknown {
  const state = stateOf(
    testJob('held', [{ lasting: true, size: { ...WHOLE, cpuMilli: 2_000 } }]),
    testJob('j', [step], { queue: 'wanted' }),
  );
  startOn(state, taskOf(state, 'held', 0, 0), 'w');
  return account(state, [testWorker('w')]).waiting.wanted;
}

test('processors are told by who holds them', () => {
  const state = stateOf(
    testJob('p', [{ size: { ...WHOLE, cpuMilli: 1_000 } }]),
    testJob('l', [{ size: { ...WHOLE, cpuMilli: 2_000 }, lasting: true }]),
    testJob('f', [{ size: { ...WHOLE, cpuMilli: 1_500 }, filler: true }]),
  );
  const runs = ['p', 'l', 'f'].map(id =>
    startOn(state, taskOf(state, id, 0, 0), 'w'),
  );
  for (const { progress } of runs) {
    assert.ok(progress);
    progress.reading = 700;
    progress.allowedPercent = 40;
  }
  assert.deepEqual(account(state, [testWorker('w')]).processors, {
    registered: 4_000,
    usable: 4_000,
    plain: 1_000,
    lasting: 2_000,
    filler: 1_500,
    plainInUse: 700,
    fillerInUse: 700,
    throttled: 900,
  });
});

test('a task that fits nowhere waits for processors', () => {
  assert.deepEqual(reasonsFor({ tasks: 3, size: WHOLE }), { processors: 3 });
});

test('a task whose memory fits nowhere waits for memory', () => {
  const size = { cpuMilli: 100, memoryMiB: 9_000, accelerators: 0 };
  assert.deepEqual(reasonsFor({ size }), { memory: 1 });
});

test('a task without a worker of its label waits for one', () => {
  assert.deepEqual(reasonsFor({ label: 'none' }), { label: 1 });
});

test('a task that fits waits for its turn', () => {
  assert.deepEqual(reasonsFor({}), { turn: 1 });
});

test('without a usable worker tasks wait for one', () => {
  const state = stateOf(testJob('j', [{ tasks: 2 }]));
  assert.deepEqual(account(state, []).waiting, { q: { no_worker: 2 } });
});

test('an account stays bounded with many queues and shapes', () => {
  const jobs = Array.from({ length: 100 }, (_, at) =>
    testJob(`j${at}`, [{ size: { ...WHOLE, cpuMilli: 4_001 + at } }], {
      queue: `q${at}`,
    }),
  );
  const { waiting } = account(stateOf(...jobs), [testWorker('w')]);
  assert.equal(Object.keys(waiting).length, 9);
  assert.deepEqual(waiting[OTHER_QUEUES], { processors: 16, unexamined: 76 });
});

// Large jobs that waited for ever could not be seen: what waits was told by queue alone.
test('jobs that wait are told by size, with how long and why', () => {
  const state = stateOf(
    testJob('held', [{ lasting: true, size: WHOLE }]),
    testJob('large', [{ tasks: 9 }]),
    ...Array.from({ length: 9 }, (_, at) => testJob(`small${at}`, [{}])),
  );
  startOn(state, taskOf(state, 'held', 0, 0), 'w');
  assert.deepEqual(account(state, [testWorker('w')]).sizes.q, {
    'largest tenth': {
      jobs: 1,
      notBegun: 1,
      oldestMs: 0,
      reason: 'processors',
    },
    'next largest fifth': {
      jobs: 2,
      notBegun: 2,
      oldestMs: 0,
      reason: 'processors',
    },
    smaller: { jobs: 7, notBegun: 7, oldestMs: 0, reason: 'processors' },
  });
});
