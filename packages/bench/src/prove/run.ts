/** One run of the whole path under faults drawn from a seed. */
import { setTimeout as sleep } from 'node:timers/promises';

import { hash32, seededRandom } from '@paddlewind/domain';
import type { LogServerOptions } from '@paddlewind/stand-ins';

import { startCallers } from '../cluster/callers.js';
import {
  CASCADE,
  CASCADE_DECLARATIONS,
  ENTRY_ZONES,
  MEMBERLINK_HOST,
} from '../cluster/cascade.js';
import { stopEntry } from '../cluster/entry-faults.js';
import {
  allReady,
  startEntryHosts,
  type EntryHost,
} from '../cluster/entry-hosts.js';
import { runOperator, watchClaims, watchConfig } from '../cluster/operators.js';
import { startPlatform, type Platform } from '../cluster/platform.js';
import { createRecorder, type Recorder } from '../cluster/recorder.js';
import type { ProcessGroup } from '../processes/process-group.js';
import { drawFaults } from './fault-plan.js';
import { runFaults } from './fault-runner.js';
import type { History } from './history.js';
import { startOperatorLoad } from './operator-load.js';

/** What a run is started with. */
export interface ProveOptions {
  readonly seconds: number;
  readonly seed: number;
  /** Time that the log keeps entries, at least 60,000; for ever when absent. */
  readonly retentionMs?: number;
  readonly directory: string;
  readonly group: ProcessGroup;
  readonly say: (text: string) => void;
}

const READY_LIMIT_MS = 15_000;
const SETTLE_LIMIT_MS = 60_000;
const REQUESTS_PER_SECOND = 80;
const REPEAT_SHARE = 0.5;

/** Runs the whole path and returns its history. */
export async function runUnderFaults(options: ProveOptions): Promise<History> {
  const recorder = createRecorder();
  const platform = await startPlatform(CASCADE, recorder, logOptions(options));
  const unwatch = watchClaims(platform.log, CASCADE.region, recorder);
  try {
    const entries = await startEntryHosts({
      ...options,
      platform,
      region: CASCADE.region,
      availabilityZones: ENTRY_ZONES,
    });
    await setUp(entries);
    await play(options, recorder, platform, entries);
    unwatch();
    return recorder.history();
  } finally {
    unwatch();
    await platform.close();
  }
}

function logOptions({ retentionMs }: ProveOptions): LogServerOptions {
  return retentionMs === undefined ? {} : { retainMs: retentionMs };
}

async function setUp(entries: readonly EntryHost[]): Promise<void> {
  if (!(await allReady(entries, READY_LIMIT_MS))) {
    throw new Error('the entry hosts did not become ready');
  }
  const apply = ['apply', CASCADE_DECLARATIONS, '--wait'];
  const { code, err } = await runOperator(entries, apply);
  if (code !== 0) {
    throw new Error(`apply exited with ${code}: ${err}`);
  }
}

async function play(
  options: ProveOptions,
  recorder: Recorder,
  platform: Platform,
  entries: readonly EntryHost[],
): Promise<void> {
  const { seconds, seed, directory, say } = options;
  const randomOf = (use: string) => seededRandom(hash32(`${seed} ${use}`));
  const unwatch = watchConfig(entries, recorder);
  const callers = startCallers({
    entries,
    recorder,
    host: MEMBERLINK_HOST,
    perSecond: REQUESTS_PER_SECOND,
    repeatShare: REPEAT_SHARE,
    random: randomOf('callers'),
  });
  const random = randomOf('operators');
  const operators = startOperatorLoad({ entries, recorder, random, directory });
  const faults = drawFaults(randomOf('faults'), seconds);
  faults.forEach(({ kind, at, durationMs }) => {
    say(`fault ${kind} at ${at} ms for ${durationMs} ms`);
  });
  const until = sleep(seconds * 1_000);
  await runFaults({ platform, entries, recorder }, faults);
  await until;
  say('the faults are over');
  const unended = await operators.settle(SETTLE_LIMIT_MS);
  unended.forEach(job => {
    say(`${job} has not ended`);
  });
  await callers.stop();
  unwatch();
  await Promise.all(entries.map(entry => stopEntry(entry, recorder)));
  recorder.record({ type: 'settled' });
}
