/** The steps of the demo. */
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { seededRandom } from '@paddlewind/domain';

import { startCallers } from '../cluster/callers.js';
import {
  CASCADE,
  CASCADE_DECLARATIONS,
  ENTRY_ZONES,
  MEMBERLINK_HOST,
} from '../cluster/cascade.js';
import { killEntry, stopEntry } from '../cluster/entry-faults.js';
import {
  allReady,
  startEntryHosts,
  type EntryHost,
} from '../cluster/entry-hosts.js';
import { reachesState, submitJob } from '../cluster/jobs.js';
import { runOperator, watchClaims, watchConfig } from '../cluster/operators.js';
import { startPlatform } from '../cluster/platform.js';
import { createRecorder, type Recorder } from '../cluster/recorder.js';
import type { ProcessGroup } from '../processes/process-group.js';
import { requestsOf } from '../prove/checks/requests.js';
import type { History } from '../prove/history.js';
import { judge, isBroken, renderVerdicts } from '../prove/verdict.js';

/** What the demo runs with. */
export interface DemoOptions {
  readonly directory: string;
  readonly group: ProcessGroup;
  readonly say: (text: string) => void;
}

interface Scene extends DemoOptions {
  readonly recorder: Recorder;
  readonly entries: readonly EntryHost[];
}

const READY_LIMIT_MS = 10_000;
const JOB_LIMIT_MS = 20_000;
const REQUESTS_PER_SECOND = 100;
/** Share of requests with an idempotency key that are sent again, to another entry host. */
const REPEAT_SHARE = 0.5;
/** Time for requests before the kill, and after the stop, in milliseconds. */
const CALM_MS = 1_000;
const JOBS = ['statements-november', 'posting-1201'];

/** Runs the demo; resolves to what went wrong. */
export async function runDemo(options: DemoOptions): Promise<string[]> {
  const recorder = createRecorder();
  const platform = await startPlatform(CASCADE, recorder);
  const entries = await startEntryHosts({
    ...options,
    platform,
    region: CASCADE.region,
    availabilityZones: ENTRY_ZONES,
  });
  const scene = { ...options, recorder, entries };
  const unwatch = watchClaims(platform.log, CASCADE.region, recorder);
  try {
    await setUp(scene);
    const failures = await play(scene);
    unwatch();
    return [...failures, ...verdict(scene)];
  } finally {
    unwatch();
    await platform.close();
  }
}

async function setUp({ entries, say }: Scene): Promise<void> {
  if (!(await allReady(entries, READY_LIMIT_MS))) {
    throw new Error('the entry hosts did not become ready');
  }
  const workers = CASCADE.racks.length;
  say(`${entries.length} entry hosts and ${workers} workers are ready`);
  const apply = ['apply', CASCADE_DECLARATIONS, '--wait'];
  const applied = await runOperator(entries, apply);
  if (applied.code !== 0) {
    throw new Error(`apply exited with ${applied.code}: ${applied.err}`);
  }
  say(`declarations: ${applied.out.split('\n').at(-1) ?? ''}`);
}

async function play(scene: Scene): Promise<string[]> {
  const { entries, recorder, say } = scene;
  const [first, second, last] = entries;
  if (first === undefined || second === undefined || last === undefined) {
    throw new Error('the demo needs three entry hosts');
  }
  const callers = startCallers({
    entries,
    recorder,
    host: MEMBERLINK_HOST,
    perSecond: REQUESTS_PER_SECOND,
    repeatShare: REPEAT_SHARE,
    random: seededRandom(1),
  });
  const unwatch = watchConfig(entries, recorder);
  const failures = await submitAll(scene);
  await sleep(CALM_MS);
  await killEntry(second, recorder);
  say(`${second.id} (process ${second.child().pid}) was killed`);
  failures.push(...(await finishAll(scene)));
  const code = await stopEntry(first, recorder);
  say(`${first.id} was asked to stop and exited with ${code ?? 'a signal'}`);
  await sleep(CALM_MS);
  await callers.stop();
  unwatch();
  await stopEntry(last, recorder);
  recorder.record({ type: 'settled' });
  return failures;
}

async function submitAll(scene: Scene): Promise<string[]> {
  const { entries, recorder, say } = scene;
  const failures: string[] = [];
  for (const job of JOBS) {
    const file = join(CASCADE_DECLARATIONS, 'jobs', `${job}.json`);
    const { code, out, err } = await submitJob(entries, recorder, file);
    if (code === 0) {
      say(out);
    } else {
      failures.push(`job submit ${job} exited with ${code}: ${err}`);
    }
  }
  return failures;
}

async function finishAll({ entries, say }: Scene): Promise<string[]> {
  const states = await Promise.all(
    JOBS.map(async job => ({
      job,
      done: await reachesState(entries, job, 'completed', JOB_LIMIT_MS),
    })),
  );
  for (const { job, done } of states) {
    say(done ? `job ${job} is completed` : `job ${job} is not completed`);
  }
  return states
    .filter(({ done }) => !done)
    .map(({ job }) => `job ${job} is not reported as completed`);
}

function verdict({ recorder, say }: Scene): string[] {
  const history = recorder.history();
  const ends = countEnds(history);
  say(`requests: ${JSON.stringify(Object.fromEntries(ends))}`);
  const verdicts = judge(history);
  renderVerdicts(verdicts, history).forEach(say);
  const wrong = wrongRefusals(history);
  return [
    ...(isBroken(verdicts) ? ['a promise is broken'] : []),
    ...(wrong > 0 ? [`${wrong} requests were refused wrongly`] : []),
    ...(ends.has('answered') ? [] : ['no request was answered']),
  ];
}

function countEnds(history: History): Map<string, number> {
  const ends = new Map<string, number>();
  for (const { done } of requestsOf(history)) {
    const kind = done?.end.kind ?? 'lost';
    ends.set(kind, (ends.get(kind) ?? 0) + 1);
  }
  return ends;
}

/** At this load only a repeat of an idempotency key may be refused. */
function wrongRefusals(history: History): number {
  return requestsOf(history).filter(
    ({ sent, done }) => sent.key === undefined && done?.end.kind === 'refused',
  ).length;
}
