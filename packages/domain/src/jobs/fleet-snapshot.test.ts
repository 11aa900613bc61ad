import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  snapshotFleet,
  OTHER_QUEUES,
  type FleetSnapshot,
} from './fleet-snapshot.js';
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

const WHOLE_WORKER = { cpuMilli: 4_000, memoryMiB: 100, accelerators: 0 };

function snapshot(
  state: JobsState,
  workers: readonly PlanWorker[],
  evacuated: readonly PlanWorker[] = [],
): FleetSnapshot {
  return snapshotFleet({
    plan: planInput(state, workers),
    registered: [...workers, ...evacuated].map(({ info }) => info),
    evacuated,
    isLogUnavailable: false,
  });
}

/** Counts why tasks of a step wait for a single worker, half of which is used by a long-running task. */
function waitReasonsOf(step: Partial<StepSpec>): unknown {
  const state = stateOf(
    testJob('held', [
      { lasting: true, size: { ...WHOLE_WORKER, cpuMilli: 2_000 } },
    ]),
    testJob('j', [step], { queue: 'wanted' }),
  );
  startOn(state, taskOf(state, 'held', 0, 0), 'w');
  return snapshot(state, [testWorker('w')]).waiting.wanted;
}

test('counts processors by kind of task', () => {
  const state = stateOf(
    testJob('p', [{ size: { ...WHOLE_WORKER, cpuMilli: 1_000 } }]),
    testJob('l', [
      { size: { ...WHOLE_WORKER, cpuMilli: 2_000 }, lasting: true },
    ]),
    testJob('f', [
      { size: { ...WHOLE_WORKER, cpuMilli: 1_500 }, filler: true },
    ]),
  );
  const runs = ['p', 'l', 'f'].map(id =>
    startOn(state, taskOf(state, id, 0, 0), 'w'),
  );
  for (const { progress } of runs) {
    assert.ok(progress);
    progress.reading = 700;
    progress.allowedPercent = 40;
  }
  assert.deepEqual(snapshot(state, [testWorker('w')]).processors, {
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
  assert.deepEqual(waitReasonsOf({ tasks: 3, size: WHOLE_WORKER }), {
    processors: 3,
  });
});

test('a task whose memory fits nowhere waits for memory', () => {
  const size = { cpuMilli: 100, memoryMiB: 9_000, accelerators: 0 };
  assert.deepEqual(waitReasonsOf({ size }), { memory: 1 });
});

test('a task without a worker with its label waits for the label', () => {
  assert.deepEqual(waitReasonsOf({ label: 'none' }), { label: 1 });
});

test('a task that fits waits for its turn', () => {
  assert.deepEqual(waitReasonsOf({}), { turn: 1 });
});

test('tasks wait for a worker if none is usable', () => {
  const state = stateOf(testJob('j', [{ tasks: 2 }]));
  assert.deepEqual(snapshot(state, []).waiting, { q: { no_worker: 2 } });
});

test('a task that only evacuated workers have capacity for waits for the evacuation', () => {
  const state = stateOf(
    testJob('held', [{ lasting: true, size: WHOLE_WORKER }]),
    testJob('j', [{ tasks: 2 }], { queue: 'wanted' }),
  );
  startOn(state, taskOf(state, 'held', 0, 0), 'w');
  const { waiting } = snapshot(state, [testWorker('w')], [testWorker('e')]);
  assert.deepEqual(waiting.wanted, { evacuated: 2 });
});

test('a snapshot stays bounded with many queues and kinds of tasks', () => {
  const jobs = Array.from({ length: 100 }, (_, at) =>
    testJob(`j${at}`, [{ size: { ...WHOLE_WORKER, cpuMilli: 4_001 + at } }], {
      queue: `q${at}`,
    }),
  );
  const { waiting } = snapshot(stateOf(...jobs), [testWorker('w')]);
  assert.equal(Object.keys(waiting).length, 9);
  assert.deepEqual(waiting[OTHER_QUEUES], { processors: 92 });
});

// Guards against starved large jobs going unnoticed, as when waiting tasks were reported by queue alone.
test('reports waiting jobs by size, with waiting time and reason', () => {
  const state = stateOf(
    testJob('held', [{ lasting: true, size: WHOLE_WORKER }]),
    testJob('large', [{ tasks: 9 }]),
    ...Array.from({ length: 9 }, (_, at) => testJob(`small${at}`, [{}])),
  );
  startOn(state, taskOf(state, 'held', 0, 0), 'w');
  assert.deepEqual(snapshot(state, [testWorker('w')]).sizes.q, {
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
