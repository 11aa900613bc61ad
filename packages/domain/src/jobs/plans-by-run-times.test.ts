/**
 * Guards against decisions that change where the distributions are not in force, and against large jobs that
 * starve where they are.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { hash32 } from '../index.js';
import {
  servedSharesOf,
  simulateLoad,
  type LoadScenario,
} from './overloaded-deployment.fixture.test.js';
import { createRunTimeDistributions } from './run-time-distributions.js';

const OVERLOAD = {
  load: 2,
  from: 5_000,
  until: 20_000,
  end: 35_000,
  workers: 20,
  countAllJobs: true,
} as const satisfies Partial<LoadScenario>;

/** Hash of the jobs' results on ac31ceb, the last version without longest times. */
const EARLIER_RESULTS = [
  { seed: 1, load: 2, taskCores: [1], hash: 3_958_272_128 },
  { seed: 2, load: 2, taskCores: [1], hash: 4_250_597_076 },
  { seed: 1, load: 3, taskCores: [1, 2, 1, 4], hash: 167_462_665 },
  { seed: 2, load: 3, taskCores: [1, 2, 1, 4], hash: 1_999_551_269 },
];

for (const { hash, ...scenario } of EARLIER_RESULTS) {
  const { seed, load } = scenario;
  test(`by averages all jobs end as before: load ${load}, seed ${seed}`, () => {
    const outcomes = simulateLoad({ ...OVERLOAD, ...scenario });
    const kinds = outcomes.map(({ kind }) => kind).join();
    assert.equal(hash32(kinds), hash);
  });
}

/** The larger deployment of starved-jobs.test.ts, whose groups are large enough to compare. */
const LASTING_OVERLOAD = {
  from: 5_000,
  until: 45_000,
  end: 65_000,
  workers: 40,
  countAllJobs: false,
} as const satisfies Partial<LoadScenario>;

for (const load of [1.5, 2, 3]) {
  test(`by distributions large jobs are not starved: load ${load} that lasts`, () => {
    for (const seed of [1, 2, 3, 4]) {
      const times = createRunTimeDistributions();
      const scenario = { ...LASTING_OVERLOAD, load, seed, times };
      const { all, largestTenth, nextLargestFifth } = servedSharesOf(
        simulateLoad(scenario),
      );
      assert.ok(
        Math.min(largestTenth, nextLargestFifth) >= all / 2,
        `seed ${seed}: ${largestTenth} and ${nextLargestFifth} of ${all}`,
      );
    }
  });
}
