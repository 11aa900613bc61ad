/**
 * Pattern: images that fill press hard on some images that serve and leave others alone. One image runs
 * well beside few of them, and waits for these places, while images that run well anywhere take them.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Interference } from './interference.js';
import type { JobsState } from './jobs-state.js';
import { planStarts, type PlanInput } from './plan.js';
import {
  applyDecision,
  planInput,
  startOn,
  stateOf,
  taskOf,
  testJob,
  testWorker,
} from './test-support.js';

const SIZE = { cpuMilli: 1_000, memoryMiB: 100, accelerators: 0 };
const SERVING = { lasting: true, tailTargetMs: 50, size: SIZE };
const FILLER = { filler: true, size: SIZE };
const NOT_PRESSING = [0.1, 0.01] as const;
const PRESSING = [6, 0.5] as const;

/** `hard` suits only `a`; `easy` suits `a` and `b`, of which `a` is the less promised. */
function site(): { state: JobsState; input: PlanInput } {
  const state = stateOf(
    testJob('sa', [{ ...SERVING, image: 'a' }]),
    testJob('sb', [{ ...SERVING, image: 'b', tasks: 2 }]),
    testJob('easy', [{ ...FILLER, image: 'easy', tasks: 1 }]),
    testJob('hard', [{ ...FILLER, image: 'hard', tasks: 6 }]),
  );
  startOn(state, taskOf(state, 'sa', 0, 0), 'wa');
  startOn(state, taskOf(state, 'sb', 0, 0), 'wb');
  startOn(state, taskOf(state, 'sb', 0, 1), 'wb');
  const learnt = {
    runTimes: [],
    lowTails: [],
    pressures: [
      ['a/easy', ...NOT_PRESSING],
      ['b/easy', ...NOT_PRESSING],
      ['a/hard', ...NOT_PRESSING],
      ['b/hard', ...PRESSING],
    ] as const,
  };
  const input = {
    ...planInput(state, [testWorker('wa'), testWorker('wb')]),
    interference: new Interference({ learnt, readAt: 0 }),
  };
  return { state, input };
}

test('a filler that runs well anywhere leaves scarce places to those that do not', () => {
  const { state, input } = site();
  const places = new Map<string, string>();
  planStarts(input, decision => {
    applyDecision(state, decision);
    const { id } = decision.task.step.occurrence.job.spec;
    places.set(id, decision.worker);
  });
  assert.equal(places.get('easy'), 'wb');
  assert.equal(places.get('hard'), 'wa');
});

test('a place that only one image wants has no price', () => {
  const { input } = site();
  const { scarcity, state, workers, interference } = input;
  scarcity.refresh({ state, workers, interference, now: 0 });
  const hard = { ...taskOf(state, 'hard', 0, 0).step.spec };
  const easy = { ...taskOf(state, 'easy', 0, 0).step.spec };
  assert.ok(scarcity.priceAt('wa', easy) > scarcity.priceAt('wb', easy));
  assert.ok(scarcity.priceAt('wa', hard) < scarcity.priceAt('wa', easy));
});
