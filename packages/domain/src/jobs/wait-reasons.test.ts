/*
 * Guards against a lack of capacity that is reported as `turn`. One task of each step used to be tried on the
 * fleet as it was, so that a thousand tasks counted as able to start where there was a place for one.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobsState } from './jobs-state.js';
import { orderedCandidates } from './order.js';
import type { PlanWorker } from './placement.js';
import {
  planInput,
  startOn,
  stateOf,
  taskOf,
  testJob,
  testWorker,
} from './test-support.js';
import { explainWaits, type WaitingByReason } from './wait-reasons.js';

const CORE = { cpuMilli: 1_000, memoryMiB: 100, accelerators: 0 };
const HALF_WORKER = { ...CORE, cpuMilli: 2_000 };
const WHOLE_WORKER = { ...CORE, cpuMilli: 4_000 };

interface Scene {
  readonly workers?: readonly PlanWorker[];
  readonly evacuated?: readonly PlanWorker[];
  readonly isLogUnavailable?: boolean;
}

/** Returns the reasons by job; each job has one step with waiting tasks. */
function reasonsOf(
  state: JobsState,
  { workers, evacuated = [], isLogUnavailable = false }: Scene = {},
): Record<string, WaitingByReason> {
  const plan = planInput(state, workers ?? [testWorker('w')]);
  const { openJobs } = state;
  const ordered = orderedCandidates(openJobs, plan.times, plan.time);
  const steps = ordered.map(({ step }) => step);
  const waits = explainWaits({ plan, evacuated, isLogUnavailable }, steps);
  return Object.fromEntries(
    [...waits].map(([step, counts]) => [step.occurrence.job.spec.id, counts]),
  );
}

test('one free place counts for one of many tasks', () => {
  const state = stateOf(testJob('j', [{ tasks: 1_000, size: WHOLE_WORKER }]));
  assert.deepEqual(reasonsOf(state).j, { turn: 1, processors: 999 });
});

test('a place that an earlier step takes does not count for a later one', () => {
  const first = testJob('first', [{ size: WHOLE_WORKER }], { priority: 0 });
  const later = testJob('later', [{ tasks: 5, size: CORE }], { priority: 1 });
  assert.deepEqual(reasonsOf(stateOf(later, first)), {
    first: { turn: 1 },
    later: { processors: 5 },
  });
});

test('a smaller task finds the place that a larger one does not', () => {
  const state = stateOf(
    testJob('held', [{ lasting: true, size: { ...CORE, cpuMilli: 3_000 } }]),
    testJob('large', [{ tasks: 3, size: HALF_WORKER }], { priority: 1 }),
    testJob('larger', [{ tasks: 3, size: WHOLE_WORKER }], { priority: 2 }),
    testJob('small', [{ tasks: 3, size: CORE }], { priority: 3 }),
  );
  startOn(state, taskOf(state, 'held', 0, 0), 'w');
  assert.deepEqual(reasonsOf(state), {
    large: { processors: 3 },
    larger: { processors: 3 },
    small: { turn: 1, processors: 2 },
  });
});

test('capacity in an evacuated zone counts once, too', () => {
  const state = stateOf(testJob('j', [{ tasks: 5, size: WHOLE_WORKER }]));
  assert.deepEqual(reasonsOf(state, { evacuated: [testWorker('e')] }).j, {
    turn: 1,
    evacuated: 1,
    processors: 3,
  });
});

test('tasks with a place wait for the log while nothing may start', () => {
  const state = stateOf(testJob('j', [{ tasks: 2, size: WHOLE_WORKER }]));
  assert.deepEqual(reasonsOf(state, { isLogUnavailable: true }).j, {
    log_unavailable: 1,
    processors: 1,
  });
});

test('a gang counts as a whole', () => {
  const state = stateOf(
    testJob('fits', [{ tasks: 2, gang: true, size: HALF_WORKER }], {
      priority: 0,
    }),
    testJob('waits', [{ tasks: 2, gang: true, size: CORE }], { priority: 1 }),
  );
  assert.deepEqual(reasonsOf(state), {
    fits: { turn: 2 },
    waits: { processors: 2 },
  });
});

test('workers kept for larger tasks are told from full ones', () => {
  const state = stateOf(
    testJob('running', [{ tasks: 4, size: CORE }]),
    testJob('large', [{ tasks: 4, size: WHOLE_WORKER }]),
    testJob('small', [{ tasks: 4, size: CORE }]),
  );
  for (let at = 0; at < 4; at += 1) {
    startOn(state, taskOf(state, 'running', 0, at), 'w1');
  }
  const workers = [testWorker('w1'), testWorker('w2')];
  const { small, large } = reasonsOf(state, { workers });
  assert.deepEqual(small, { kept: 4 });
  assert.deepEqual(large, { turn: 1, processors: 3 });
});

test('placing tasks for an explanation changes neither loads nor tasks', () => {
  const state = stateOf(testJob('j', [{ tasks: 3, size: CORE }]));
  const before = reasonsOf(state);
  assert.deepEqual(reasonsOf(state), before);
  assert.equal(state.workers.get('w')?.runs.size ?? 0, 0);
  assert.equal(taskOf(state, 'j', 0, 0).status, 'waiting');
});

// An explanation is made each second by a leader that also has to plan; 90,000 comparisons took its time.
test('the number of workers compared is bounded', () => {
  const workers = Array.from({ length: 300 }, (_, at) => testWorker(`w${at}`));
  let ranked = 0;
  const iterate = workers[Symbol.iterator].bind(workers);
  workers[Symbol.iterator] = () => {
    ranked += workers.length;
    return iterate();
  };
  const jobs = Array.from({ length: 300 }, (_, at) =>
    testJob(`j${at}`, [
      { image: `i${at}`, size: { ...CORE, cpuMilli: 4_001 } },
    ]),
  );
  const counts = Object.values(reasonsOf(stateOf(...jobs), { workers }));
  const unexamined = counts.filter(reason => reason.unexamined !== undefined);
  assert.equal(counts.length, 300);
  assert.ok(unexamined.length > 100, `${unexamined.length} unexamined`);
  assert.ok(ranked <= 2 * 41_000, `${ranked} workers compared`);
});
