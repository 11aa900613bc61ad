/** From publishing a change to its being in force on every entry host, with an outage of the log. */
import { createCommitter, startConfig, type Config } from '@paddlewind/daemon';
import { CONFIG_STREAM, seededRandom } from '@paddlewind/domain';
import meow from 'meow';

import { report } from '../report.js';
import {
  LOG_SPEEDS,
  contextOf,
  createBed,
  createMillisHistogram,
  type Bed,
  type LogSpeed,
} from '../shared-state/bed.js';
import { runFleetChanges } from '../shared-state/fleet-changes.js';
import { startPeerHub } from '../shared-state/peers.js';
import { changeTo, sampleTeam } from '../shared-state/sample-config.js';

const HELP = `
  Usage: npm run bench -- config [flags]
    --changes N   changes published (default 1400, those of a day)
    --seconds N   virtual seconds in which they are published (default 1400)
    --outage N    seconds of outage of the log in the middle of a second run (default 120)
    --hosts N     entry hosts (default 9)
    --processes N changes published to as many processes, by 4 operators at once (default 300)
    --seed N      (default 1)
`;

const TEAMS = 40;
const APPLY_DEADLINE_MS = 10_000;
const DAY_SECONDS = 86_400;
const OPERATORS = 4;
const FLEET_FAULTS = [
  { slowMs: 0, outageSeconds: 0 },
  { slowMs: 20, outageSeconds: 0 },
  { slowMs: 20, outageSeconds: 5 },
];

interface Options {
  readonly changes: number;
  readonly seconds: number;
  readonly hosts: number;
  readonly seed: number;
}

interface Tally {
  readonly inForce: ReturnType<typeof createMillisHistogram>;
  accepted: number;
  conflicts: number;
  unavailable: number;
  reverts: number;
}

/** Runs the benchmark. */
export async function run(args: readonly string[]): Promise<void> {
  const { flags } = meow(HELP, {
    importMeta: import.meta,
    argv: [...args],
    flags: {
      changes: { type: 'number', default: 1_400 },
      seconds: { type: 'number', default: 1_400 },
      outage: { type: 'number', default: 120 },
      hosts: { type: 'number', default: 9 },
      processes: { type: 'number', default: 300 },
      seed: { type: 'number', default: 1 },
    },
  });
  for (const [name, speed] of Object.entries(LOG_SPEEDS)) {
    await runChanges(name, speed, flags, 0);
  }
  await runChanges('fast', LOG_SPEEDS.fast, flags, flags.outage);
  for (const faults of FLEET_FAULTS) {
    await runFleetChanges({
      hosts: flags.hosts,
      changes: flags.processes,
      operators: OPERATORS,
      seed: flags.seed,
      ...faults,
    });
  }
}

async function runChanges(
  speedName: string,
  speed: LogSpeed,
  options: Options,
  outageSeconds: number,
): Promise<void> {
  const bed = createBed(speed);
  const configs = startHosts(bed, options);
  const tally: Tally = {
    inForce: createMillisHistogram(),
    accepted: 0,
    conflicts: 0,
    unavailable: 0,
    reverts: 0,
  };
  await bed.time.until(() => configs.every(config => config.inForce()));
  watchReverts(configs, tally);
  scheduleChanges(bed, configs, options, tally);
  scheduleOutage(bed, options.seconds, outageSeconds);
  await bed.time.advance((options.seconds + 60) * 1_000);
  const bytesPerChange =
    bed.log.totals().readBytes / options.hosts / Math.max(1, tally.accepted);
  report({
    bench: 'config',
    log: speedName,
    outageSeconds,
    hosts: options.hosts,
    changes: options.changes,
    accepted: tally.accepted,
    conflicts: tally.conflicts,
    unavailable: tally.unavailable,
    ...tally.inForce.quantiles('inForceEverywhere'),
    reverts: tally.reverts,
    atOneOffset: new Set(configs.map(config => config.offset())).size === 1,
    entries: bed.log.head(CONFIG_STREAM),
    logBytesPerChangeAndHost: Math.round(bytesPerChange),
    logBytesPerSecondAndHostAt1400ADay:
      Math.round((bytesPerChange * 14_000) / DAY_SECONDS) / 10,
  });
}

function startHosts({ time, log }: Bed, options: Options): Config[] {
  const hub = startPeerHub(time);
  return Array.from({ length: options.hosts }, (_, index) => {
    const ctx = contextOf(time, options.seed + index);
    const id = `host-${index}`;
    const config = startConfig({
      ctx,
      log,
      committer: createCommitter({ log, ctx }),
      peers: hub.viewOf(id),
      fetch: hub.fetch,
    });
    hub.add(id, config);
    return config;
  });
}

function watchReverts(configs: readonly Config[], tally: Tally): void {
  for (const config of configs) {
    let last = config.offset();
    config.onChange(state => {
      tally.reverts += state.offset < last ? 1 : 0;
      last = state.offset;
    });
  }
}

function scheduleChanges(
  { time }: Bed,
  configs: readonly Config[],
  options: Options,
  tally: Tally,
): void {
  const random = seededRandom(options.seed);
  for (let i = 0; i < options.changes; i++) {
    time.schedule(random() * options.seconds * 1_000, () => {
      const config = configs[i % configs.length];
      if (config !== undefined) {
        void publish(time, config, configs, i, tally);
      }
    });
  }
}

async function publish(
  time: Bed['time'],
  config: Config,
  configs: readonly Config[],
  index: number,
  tally: Tally,
): Promise<void> {
  const at = time.clock();
  const team = sampleTeam(index % TEAMS, 1 + index);
  const held = config.current().objects.get(`team/${team.name}`);
  const change = changeTo(team, held?.version ?? 0);
  const deadline = at + APPLY_DEADLINE_MS;
  const applied = await config.apply(`change-${index}`, [change], deadline);
  if (applied.isErr) {
    const isConflict = applied.error.kind === 'conflict';
    tally.conflicts += isConflict ? 1 : 0;
    tally.unavailable += isConflict ? 0 : 1;
    return;
  }
  tally.accepted++;
  const offset = applied.value;
  const isEverywhere = (): boolean =>
    configs.every(each => each.offset() >= offset);
  const look = (): void => {
    if (isEverywhere()) {
      tally.inForce.add(time.clock() - at);
    } else {
      time.schedule(1, look);
    }
  };
  look();
}

function scheduleOutage(
  { time, log }: Bed,
  seconds: number,
  outageSeconds: number,
): void {
  if (outageSeconds > 0) {
    const begin = (seconds * 1_000) / 2;
    time.schedule(begin, () => {
      log.setOutage(true);
    });
    time.schedule(begin + outageSeconds * 1_000, () => {
      log.setOutage(false);
    });
  }
}
