/**
 * Interference: our learning and policy against no learning, static separation, eviction on
 * violation, and one that knows the hidden matrix. Flags: `--seconds N`, `--held-out`, `--each`,
 * `--seen N` (share of the usual samples that the entry host sees).
 */
import { parseArgs } from 'node:util';

import {
  evictOnViolation,
  noLearning,
  staticSeparation,
  type Contender,
} from '../interference/contender.js';
import type { Fleet } from '../interference/fleet.js';
import { knowing } from '../interference/knowing.js';
import { ours, oursByZone } from '../interference/ours.js';
import { runContender, type RunResult } from '../interference/run.js';
import {
  DEPLOYMENTS,
  drawScenario,
  type Deployment,
} from '../interference/scenario.js';
import { report, roundTo } from '../report.js';

/** Places of the figures that are printed. */
const DECIMALS = 4;

/** Seeds that thresholds were tuned on, and seeds that were not looked at before. */
const TUNING_SEEDS = [1, 2, 3];
const HELD_OUT_SEEDS = [101, 102, 103];

const DEFAULT_SECONDS = 3_600;

type Results = Map<string, RunResult>;

const CONTENDERS: Readonly<Record<string, (fleet: Fleet) => Contender>> = {
  no_learning: noLearning,
  static_separation: staticSeparation,
  evict_on_violation: evictOnViolation,
  ours,
  ours_by_zone: oursByZone,
  knows_the_matrix: knowing,
};

/** Runs the benchmark. */
export function run(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      seconds: { type: 'string', default: String(DEFAULT_SECONDS) },
      'held-out': { type: 'boolean', default: false },
      seen: { type: 'string', default: '1' },
      each: { type: 'boolean', default: false },
    },
  });
  const seconds = Number(values.seconds);
  const seen = Number(values.seen);
  const seeds = values['held-out'] ? HELD_OUT_SEEDS : TUNING_SEEDS;
  const group = values['held-out'] ? 'held_out' : 'tuning';
  for (const deployment of DEPLOYMENTS) {
    const runs = seeds.map(seed => runSeed(deployment, seed, seconds, seen));
    for (const name of Object.keys(CONTENDERS)) {
      if (values.each) {
        runs.forEach((results, i) => {
          const figures = figuresOf(results, name);
          report({
            deployment: deployment.name,
            seed: seeds[i] ?? 0,
            ...figures,
            contender: name,
          });
        });
      }
      summarise(deployment, group, name, runs);
    }
  }
  return Promise.resolve();
}

function runSeed(
  deployment: Deployment,
  seed: number,
  seconds: number,
  seen: number,
): Results {
  const scenario = drawScenario(deployment, seed, seconds, seen);
  const results: Results = new Map();
  for (const [name, build] of Object.entries(CONTENDERS)) {
    results.set(name, runContender(scenario, build));
  }
  return results;
}

interface Figures {
  readonly windowsMet: number;
  readonly windowsMetInWarmUp: number;
  readonly workOfKnowing: number;
  readonly evictions: number;
  readonly evictionsOfViolation: number;
}

function figuresOf(results: Results, name: string): Figures {
  const own = results.get(name);
  const best = results.get('knows_the_matrix');
  const evicting = results.get('evict_on_violation');
  const evictions = own?.evictions ?? 0;
  return {
    windowsMet: roundTo(own?.met ?? 0, DECIMALS),
    windowsMetInWarmUp: roundTo(own?.metAtStart ?? 0, DECIMALS),
    workOfKnowing: roundTo((own?.work ?? 0) / (best?.work ?? 1), DECIMALS),
    evictions,
    evictionsOfViolation: roundTo(
      evictions / Math.max(1, evicting?.evictions ?? 0),
      DECIMALS,
    ),
  };
}

function summarise(
  deployment: Deployment,
  group: string,
  contender: string,
  runs: readonly Results[],
): void {
  const figures = runs.map(results => figuresOf(results, contender));
  const line: Record<string, string | number> = {
    bench: 'interference',
    deployment: deployment.name,
    group,
    contender,
    seeds: runs.length,
  };
  const keys = [
    'windowsMet',
    'windowsMetInWarmUp',
    'workOfKnowing',
    'evictions',
    'evictionsOfViolation',
  ] as const;
  for (const key of keys) {
    const values = figures.map(figure => figure[key]);
    const sum = values.reduce((a, b) => a + b, 0);
    line[`${key}Mean`] = roundTo(sum / values.length, DECIMALS);
    line[`${key}Least`] = Math.min(...values);
    line[`${key}Most`] = Math.max(...values);
  }
  report(line);
}
