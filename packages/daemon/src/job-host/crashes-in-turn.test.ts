/*
 * Guards against jobs that callers see as failed although none of their tasks failed or crashed a worker:
 * workers crash one after the other rather than together, are back at once, or are few.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';

import {
  crashInSeries,
  jobsSeenAsFailed,
  type Faults,
} from './crashes-in-series.fixture.test.js';

const DOWNTIME_MS: Millis = 1_500;

/** Crashes all workers in turn, one each `everyMs`. */
function inTurn(everyMs: Millis, rounds: number): Faults {
  return async (site, machines) => {
    for (let round = 0; round < rounds; round += 1) {
      for (const machine of machines) {
        if (site.fleet.at(machine) !== undefined) {
          site.restartWorker(machine, DOWNTIME_MS);
        }
        await site.time.advance(everyMs);
      }
    }
  };
}

function inSeries(share: number, everyMs: Millis, downtimeMs: Millis): Faults {
  return (site, machines) =>
    crashInSeries(site, machines, { share, everyMs, rounds: 12, downtimeMs });
}

interface Case {
  readonly name: string;
  readonly workers: number;
  readonly seeds: readonly number[];
  readonly faults: Faults;
}

const CASES: readonly Case[] = [
  {
    name: 'four workers crash in turn each 1 s',
    workers: 4,
    seeds: [101, 102, 103],
    faults: inTurn(1_000, 10),
  },
  {
    name: 'six workers crash in turn each 0.9 s',
    workers: 6,
    seeds: [101, 102, 103],
    faults: inTurn(900, 6),
  },
  {
    name: 'workers that crash together are back at once',
    workers: 6,
    seeds: [102, 103],
    faults: (site, machines) =>
      crashInSeries(site, machines, {
        share: 0.5,
        everyMs: 2_000,
        rounds: 15,
        downtimeMs: 30,
      }),
  },
  {
    name: 'half of four workers crash together',
    workers: 4,
    seeds: [201, 208, 209],
    faults: inSeries(0.5, 2_500, DOWNTIME_MS),
  },
  {
    name: 'two workers crash',
    workers: 2,
    seeds: [207, 211, 214],
    faults: inSeries(0.6, 3_000, DOWNTIME_MS),
  },
];

for (const { name, workers, seeds, faults } of CASES) {
  test(`no job fails: ${name}`, async () => {
    const found: string[] = [];
    for (const seed of seeds) {
      const failed = await jobsSeenAsFailed({ seed, workers }, faults);
      if (failed.length > 0) {
        found.push(`seed ${seed}: ${failed.join(', ')}`);
      }
    }
    assert.deepEqual(found, []);
  });
}
