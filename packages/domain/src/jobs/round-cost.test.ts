/*
 * Seen: on a fleet of 624 workers 40 were about to leave at once, and the leader fell silent for over a
 * second and lost its lead. How: room is kept in each round for every task that moves, which takes each
 * past all workers, and every slowed filler had that worked out anew. What a round looks at may grow with
 * tasks x workers, and not with moving tasks x slowed fillers x workers.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { UNKNOWN_SPAN } from '../core/time.js';
import { planEvacuation } from './evacuation.js';
import type { Run, Task } from './job.js';
import { refOf } from './jobs-state.js';
import type { PlanWorker } from './placement.js';
import { findWorker, planStarts, type PlanInput } from './plan.js';
import {
  apply,
  planInput,
  startOn,
  stateOf,
  taskOf,
  testJob,
  testWorker,
} from './test-support.js';

const MOVING = 60;
const SLOWED = 40;
const WORKERS = 100;
const SUSPECTED = 200;
const SIZE = { cpuMilli: 100, memoryMiB: 10, accelerators: 0 };

/** Workers that count how often all of them are gone over. */
function countedWorkers(): {
  workers: PlanWorker[];
  passes: () => number;
} {
  const workers = Array.from({ length: WORKERS }, (_, at) =>
    testWorker(`w${at}`),
  );
  let passes = 0;
  const iterate = workers[Symbol.iterator].bind(workers);
  workers[Symbol.iterator] = () => {
    passes += 1;
    return iterate();
  };
  return { workers, passes: () => passes };
}

function runsOf(input: PlanInput, job: string, count: number): Run[] {
  return Array.from({ length: count }, (_, at) => {
    const run = startOn(input.state, taskOf(input.state, job, 0, at), 'gone');
    if (run.progress !== undefined) {
      run.progress.confirmed = true;
    }
    return run;
  });
}

test('a round goes over the workers once for each task that it places', () => {
  const { workers, passes } = countedWorkers();
  const state = stateOf(
    testJob('moving', [{ tasks: MOVING, size: SIZE, lasting: true }]),
    testJob('leaving', [{ tasks: MOVING, size: SIZE, lasting: true }]),
    testJob('slowed', [{ tasks: SLOWED, size: SIZE, filler: true }]),
  );
  const input = planInput(state, workers);
  const moving: Task[] = runsOf(input, 'moving', MOVING).map(run => run.task);
  const leaving = runsOf(input, 'leaving', MOVING);
  const slowed = runsOf(input, 'slowed', SLOWED);
  const round = { ...input, moving };
  planStarts(round, () => undefined);
  planEvacuation(round, leaving);
  slowed.forEach(({ task }) => findWorker(round, task));
  assert.ok(passes() <= 2 * MOVING + SLOWED + 10, `${passes()} passes`);
});

test('a round with many suspected tasks goes over the workers a bounded number of times', () => {
  const { workers, passes } = countedWorkers();
  const state = stateOf(
    testJob('suspected', [{ tasks: SUSPECTED, size: SIZE }]),
    testJob('busy', [{ tasks: WORKERS, size: SIZE }]),
  );
  for (let at = 0; at < WORKERS; at += 1) {
    startOn(state, taskOf(state, 'busy', 0, at), `w${at}`);
  }
  for (let at = 0; at < SUSPECTED; at += 1) {
    const task = taskOf(state, 'suspected', 0, at);
    for (const worker of ['lost1', 'lost2']) {
      const { number: run } = startOn(state, task, worker);
      const lost = { task: refOf(task), run, checkpoint: '' };
      apply(state, {
        kind: 'lost',
        ...lost,
        suspicion: 'shared',
        age: UNKNOWN_SPAN,
      });
    }
  }
  planStarts(planInput(state, workers), () => undefined);
  assert.ok(passes() <= 20, `${passes()} passes`);
});
