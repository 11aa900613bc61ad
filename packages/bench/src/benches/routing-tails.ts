/** Tail latency of ways to route, in a queue model of nine entry hosts and 45 servers. */
import type { Tunables } from '@paddlewind/domain';
import { build, type Histogram } from 'hdr-histogram-js';
import meow from 'meow';

import { report } from '../report.js';
import { centralPolicy } from '../routing/central-policy.js';
import { dispatcherPolicy } from '../routing/dispatcher-policy.js';
import {
  disjointSubsets,
  localPolicy,
  pickByHeartbeat,
  pickLeastLatency,
  pickLeastLoaded,
  pickPowerOfTwo,
  pickRandom,
  pickRoundRobin,
} from '../routing/local-policies.js';
import {
  type ModelResult,
  type PolicyFactory,
  runModel,
} from '../routing/model.js';
import { seedsOf } from '../routing/seeds.js';
import {
  createWorkload,
  MEMBERLINK,
  type ModelSize,
  type Scenario,
} from '../routing/workload.js';

const POLICIES: Record<string, PolicyFactory> = {
  random: localPolicy(pickRandom),
  round_robin: localPolicy(pickRoundRobin),
  least_loaded: localPolicy(pickLeastLoaded),
  least_latency: localPolicy(pickLeastLatency),
  power_of_two: localPolicy(pickPowerOfTwo),
  heartbeat_loads: localPolicy(pickByHeartbeat),
  disjoint_subsets: localPolicy(
    pickLeastLoaded,
    disjointSubsets(MEMBERLINK.entryHosts, MEMBERLINK.slots),
  ),
  dispatcher: dispatcherPolicy(),
  dispatcher_hedging: dispatcherPolicy({}, { hedgeBudget: 0.05 }),
  central: centralPolicy,
};

const ALL_LOADS = [0.5, 0.7, 0.85, 0.95];
const FAULT_LOADS = [0.85];
const LOADS: Readonly<Record<Scenario, readonly number[]>> = {
  even: ALL_LOADS,
  noise_wave: ALL_LOADS,
  skewed: FAULT_LOADS,
  failing_fast: FAULT_LOADS,
  stalling: FAULT_LOADS,
};

/** Those that end within a minute and a half; the rest is a second run. */
const DEFAULT_SCENARIOS = 'even,noise_wave';

const DEFAULT_POLICIES = Object.keys(POLICIES)
  .filter(name => name !== 'dispatcher_hedging')
  .join(',');

const HELP = `
  Usage: npm run bench -- routing-tails [flags]
    --seeds FROM-TO   seeds, one run each (default 101-103, none of which tuned the policy)
    --seconds N       virtual seconds of each run, the first fifth uncounted (default 3)
    --scenarios A,B   of: ${Object.keys(LOADS).join(', ')} (default ${DEFAULT_SCENARIOS})
    --policies A,B    of: ${Object.keys(POLICIES).join(', ')} (default all but dispatcher_hedging)
    --loads A,B       instead of each scenario's own
    --entry-hosts N   (default 9)
    --servers N       (default 45)
    --tunables JSON   of the dispatcher, for trials
`;

interface Cell {
  readonly scenario: Scenario;
  readonly load: number;
  readonly policy: string;
  readonly runs: ModelResult[];
}

/** Runs the benchmark; each seed runs every policy before the next seed starts. */
export function run(args: readonly string[]): Promise<void> {
  const { flags } = meow(HELP, {
    importMeta: import.meta,
    argv: [...args],
    flags: {
      seeds: { type: 'string', default: '101-103' },
      seconds: { type: 'number', default: 3 },
      scenarios: { type: 'string', default: DEFAULT_SCENARIOS },
      policies: { type: 'string', default: DEFAULT_POLICIES },
      loads: { type: 'string', default: '' },
      entryHosts: { type: 'number', default: MEMBERLINK.entryHosts },
      servers: { type: 'number', default: MEMBERLINK.servers },
      tunables: { type: 'string', default: '{}' },
    },
  });
  POLICIES.dispatcher = dispatcherPolicy(
    JSON.parse(flags.tunables) as Partial<Tunables>,
  );
  const size = {
    ...MEMBERLINK,
    entryHosts: flags.entryHosts,
    servers: flags.servers,
  };
  const scenarios = flags.scenarios.split(',') as Scenario[];
  for (const scenario of scenarios) {
    const loads = flags.loads ? numbers(flags.loads) : LOADS[scenario];
    for (const load of loads) {
      const cells = runCells(
        size,
        scenario,
        load,
        flags.policies.split(','),
        seedsOf(flags.seeds),
        flags.seconds * 1_000,
      );
      reportCells(cells);
    }
  }
  return Promise.resolve();
}

function numbers(list: string): number[] {
  return list.split(',').map(Number);
}

function runCells(
  size: ModelSize,
  scenario: Scenario,
  load: number,
  policies: readonly string[],
  seeds: readonly number[],
  endsAt: number,
): Cell[] {
  const cells = policies.map((policy): Cell => ({
    scenario,
    load,
    policy,
    runs: [],
  }));
  for (const seed of seeds) {
    for (const cell of cells) {
      const factory = POLICIES[cell.policy];
      if (factory === undefined) {
        throw new Error(`no policy ${cell.policy}`);
      }
      const workload = createWorkload(size, scenario, load, endsAt, seed);
      cell.runs.push(runModel(workload, factory, seed, endsAt / 5));
    }
  }
  return cells;
}

function reportCells(cells: readonly Cell[]): void {
  const central = cells.find(cell => cell.policy === 'central');
  const twoChoices = cells.find(cell => cell.policy === 'power_of_two');
  for (const cell of cells) {
    const latency = merge(cell.runs, 'latencyUs');
    const added = merge(cell.runs, 'addedUs');
    report({
      bench: 'routing-tails',
      scenario: cell.scenario,
      load: cell.load,
      policy: cell.policy,
      ...ratios('p99OfPowerOfTwo', 'latencyUs', cell, twoChoices),
      ...ratios('p99OfCentral', 'latencyUs', cell, central),
      ...ratios('addedP99OfPowerOfTwo', 'addedUs', cell, twoChoices),
      p50Ms: quantileMs(latency, 50),
      p99Ms: quantileMs(latency, 99),
      p999Ms: quantileMs(latency, 99.9),
      addedP50Ms: quantileMs(added, 50),
      addedP99Ms: quantileMs(added, 99),
      goodShare: share(cell, 'good'),
      refusedShare: share(cell, 'refused'),
      failedShare: share(cell, 'failed'),
      maxConnections: Math.max(...cell.runs.map(one => one.maxConnections)),
      seeds: cell.runs.length,
    });
  }
}

type Measure = 'latencyUs' | 'addedUs';

/** Returns p99 over that of `base`, of all runs together and the least and most of one seed. */
function ratios(
  name: string,
  measure: Measure,
  cell: Cell,
  base: Cell | undefined,
): Record<string, number | null> {
  if (base === undefined) {
    return {};
  }
  const perSeed = cell.runs.map((one, index) =>
    p99Ratio([one], base.runs.slice(index, index + 1), measure),
  );
  return {
    [name]: p99Ratio(cell.runs, base.runs, measure),
    [`${name}Min`]: Math.min(...perSeed),
    [`${name}Max`]: Math.max(...perSeed),
  };
}

function p99Ratio(
  runs: readonly ModelResult[],
  base: readonly ModelResult[],
  measure: Measure,
): number {
  const own = quantileMs(merge(runs, measure), 99);
  const other = quantileMs(merge(base, measure), 99);
  return Math.round((own / other) * 1_000) / 1_000;
}

function merge(runs: readonly ModelResult[], measure: Measure): Histogram {
  const all = build({ highestTrackableValue: 60_000_000 });
  for (const one of runs) {
    all.add(one[measure]);
  }
  return all;
}

function quantileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / 1_000;
}

function share(cell: Cell, key: 'good' | 'refused' | 'failed'): number {
  const offered = cell.runs.reduce((sum, one) => sum + one.offered, 0);
  const count = cell.runs.reduce((sum, one) => sum + one[key], 0);
  return Math.round((count / offered) * 1e5) / 1e5;
}
