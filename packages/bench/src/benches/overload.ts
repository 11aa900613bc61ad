/** Goodput beyond capacity, with callers that ask again, in the queue model of routing-tails. */
import { type Tunables } from '@paddlewind/domain';
import meow from 'meow';

import { report, roundTo } from '../report.js';
import { dispatcherPolicy } from '../routing/dispatcher-policy.js';
import { localPolicy, pickPowerOfTwo } from '../routing/local-policies.js';
import {
  type CallerBehaviour,
  type ModelResult,
  type PolicyFactory,
  runModel,
} from '../routing/model.js';
import { seedsOf } from '../routing/seeds.js';
import {
  createWorkload,
  MEAN_SERVICE_MS,
  MEMBERLINK,
} from '../routing/workload.js';

/** Places of the figures that are printed. */
const DECIMALS = 3;

/** A third of the memberlink service; its servers answer 503 while 16 tries wait. */
const SIZE = { ...MEMBERLINK, entryHosts: 3, servers: 15, maxWaiting: 16 };

/** Router's retries per first try, where they are limited. */
const RETRY_BUDGET = 0.1;

const WARM_UP_MS = 1_500;

const LOADS = [1, 1.5, 2, 3];

const CALLERS: Readonly<Record<string, CallerBehaviour>> = {
  heed_retry_after: { attempts: 3, heedsRetryAfter: true },
  ask_at_once: { attempts: 3, heedsRetryAfter: false },
};

const HELP = `
  Usage: npm run bench -- overload [flags]
    --seeds FROM-TO   seeds, one run each (default 201-203, none of which tuned the policy)
    --seconds N       virtual seconds of each run, the first 1.5 s uncounted (default 3.5)
    --tunables JSON   of the dispatcher, for trials
`;

interface Cell {
  readonly policy: string;
  readonly callers: string;
  readonly load: number;
  readonly runs: ModelResult[];
}

/** Runs the benchmark; each seed runs every policy and load before the next seed starts. */
export function run(args: readonly string[]): Promise<void> {
  const { flags } = meow(HELP, {
    importMeta: import.meta,
    argv: [...args],
    flags: {
      seeds: { type: 'string', default: '201-203' },
      seconds: { type: 'number', default: 3.5 },
      tunables: { type: 'string', default: '{}' },
    },
  });
  const policies = policiesWith(
    JSON.parse(flags.tunables) as Partial<Tunables>,
  );
  const cells = createCells(policies);
  const endsAt = flags.seconds * 1_000;
  for (const seed of seedsOf(flags.seeds)) {
    for (const cell of cells) {
      cell.runs.push(runCell(cell, policies, seed, endsAt));
    }
  }
  reportCells(cells, endsAt);
  return Promise.resolve();
}

function policiesWith(
  tunables: Partial<Tunables>,
): Record<string, PolicyFactory> {
  const unlimited = { ...tunables, budgetBurst: 1e9 };
  return {
    power_of_two: localPolicy(pickPowerOfTwo, undefined, RETRY_BUDGET),
    power_of_two_without_budget: localPolicy(
      pickPowerOfTwo,
      undefined,
      Infinity,
    ),
    dispatcher: dispatcherPolicy(tunables),
    dispatcher_without_budget: dispatcherPolicy(unlimited, { retryBudget: 1 }),
  };
}

function createCells(policies: Readonly<Record<string, unknown>>): Cell[] {
  return Object.keys(CALLERS).flatMap(callers =>
    Object.keys(policies).flatMap(policy =>
      LOADS.map((load): Cell => ({ policy, callers, load, runs: [] })),
    ),
  );
}

function runCell(
  cell: Cell,
  policies: Readonly<Record<string, PolicyFactory>>,
  seed: number,
  endsAt: number,
): ModelResult {
  const policy = policies[cell.policy];
  if (policy === undefined) {
    throw new Error(`no policy ${cell.policy}`);
  }
  const workload = createWorkload(SIZE, 'even', cell.load, endsAt, seed);
  const callers = CALLERS[cell.callers];
  return runModel(workload, policy, seed, WARM_UP_MS, callers);
}

function reportCells(cells: readonly Cell[], endsAt: number): void {
  const perMs = (SIZE.servers * SIZE.slots) / MEAN_SERVICE_MS;
  const capacity = (endsAt - WARM_UP_MS) * perMs;
  const goodputs = (cell: Cell): number[] =>
    cell.runs.map(one => one.ended / capacity);
  for (const cell of cells) {
    const peak = Math.max(
      ...cells
        .filter(other => other.policy === cell.policy)
        .filter(other => other.callers === cell.callers)
        .map(other => mean(goodputs(other))),
    );
    const own = goodputs(cell);
    const offered = sum(cell.runs, 'offered');
    report({
      bench: 'overload',
      callers: cell.callers,
      policy: cell.policy,
      load: cell.load,
      goodputOfPeak: roundTo(mean(own) / peak, DECIMALS),
      goodputOfCapacity: roundTo(mean(own), DECIMALS),
      goodputMin: roundTo(Math.min(...own), DECIMALS),
      goodputMax: roundTo(Math.max(...own), DECIMALS),
      triesPerRequest: roundTo(sum(cell.runs, 'tries') / offered, DECIMALS),
      refusedShare: roundTo(sum(cell.runs, 'refused') / offered, DECIMALS),
      failedShare: roundTo(sum(cell.runs, 'failed') / offered, DECIMALS),
      p50Ms: quantileMs(cell, 50),
      p99Ms: quantileMs(cell, 99),
      seeds: cell.runs.length,
    });
  }
}

function mean(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}

function sum(
  runs: readonly ModelResult[],
  key: 'offered' | 'tries' | 'refused' | 'failed',
): number {
  return runs.reduce((total, one) => total + one[key], 0);
}

/** Mean over the seeds of a quantile of the response times of good answers. */
function quantileMs(cell: Cell, percentile: number): number {
  const values = cell.runs.map(
    one => one.latencyUs.getValueAtPercentile(percentile) / 1_000,
  );
  return roundTo(mean(values), DECIMALS);
}
