/** What the logs of the hosts say about runs that were lost and tasks that were given up. */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

import { SETTLED_MS } from '@paddlewind/domain/jobs';
import type { WorkerCrash } from '@paddlewind/stand-ins/users-platform';

/** A line of a host's log. */
interface LogLine {
  readonly msg: string;
  readonly time: string;
  readonly host: string;
  readonly task?: string;
  readonly run?: number;
  readonly failures?: number;
  readonly worker?: string;
  readonly epoch?: number;
  readonly how?: string;
  readonly reason?: string;
  readonly suspicion?: string;
  readonly age?: { readonly from: number; readonly to: number };
  readonly noise?: number;
  readonly workers?: readonly string[];
}

/** A run that a leader recorded as lost with its worker. */
export interface LostRun {
  readonly task: string;
  readonly run: number;
  readonly worker: string;
  readonly host: string;
  readonly epoch: number;
  /** Whether a leader of a higher epoch led already, so that the record was refused and does not count. */
  readonly superseded: boolean;
  /** When it was recorded, in milliseconds by the history's clock. */
  readonly at: number;
  readonly suspicion: string;
  readonly age: string;
  readonly noise: number;
  /** Number of workers that had crashed in the time that a run takes to settle, by their share of the fleet. */
  readonly crashShare: number;
  /** Why the leader gave up the runs of the worker. */
  readonly reason: string;
  /** How and how long before the record the worker crashed; `alive` if it did not. */
  readonly crash: string;
}

/** A task that a leader gave up. */
export interface GivenUpTask {
  readonly task: string;
  readonly at: number;
  readonly workers: readonly string[];
}

/** Evidence of one run. */
export interface Evidence {
  readonly lost: readonly LostRun[];
  readonly givenUp: readonly GivenUpTask[];
  /** The highest number of failed attempts that a leader counted, by task. */
  readonly attempts: ReadonlyMap<string, number>;
  /** Number of epochs in which a host led. */
  readonly leaders: number;
  /** Starts that waited and were not sent, by reason. */
  readonly unsent: Readonly<Record<string, number>>;
}

/** What the platform did to the workers. */
export interface CrashRecord {
  /** Workers that crashed, by id. */
  readonly crashes: ReadonlyMap<string, WorkerCrash>;
  /** Number of workers of the deployment. */
  readonly fleetSize: number;
}

/** Reads all logs in a directory. */
export function readEvidence(directory: string, record: CrashRecord): Evidence {
  const lines = readLines(directory);
  const reasons = new Map<string, string>();
  const lost: LostRun[] = [];
  const givenUp: GivenUpTask[] = [];
  const unsent: Record<string, number> = {};
  const attempts = new Map<string, number>();
  let leaders = 0;
  let epoch = 0;
  for (const line of lines) {
    const { task = '', failures = 0 } = line;
    attempts.set(task, Math.max(failures, attempts.get(task) ?? 0));
    switch (line.msg) {
      case 'worker: its runs are given up':
        reasons.set(`${line.host} ${line.worker ?? ''}`, line.reason ?? '');
        break;
      case 'leader: a run has ended':
        if (line.how === 'lost') {
          lost.push(lostRun(line, { reasons, record, epoch }));
        }
        break;
      case 'leader: a task is given up, workers were lost under it':
        givenUp.push({
          task: line.task ?? '',
          at: timeOf(line),
          workers: line.workers ?? [],
        });
        break;
      case 'worker: a start that waited is not sent':
        unsent[line.reason ?? ''] = (unsent[line.reason ?? ''] ?? 0) + 1;
        break;
      case 'leadership: this host leads':
        leaders += 1;
        epoch = Math.max(epoch, line.epoch ?? 0);
        break;
      default:
    }
  }
  return { lost, givenUp, attempts, leaders, unsent };
}

function readLines(directory: string): LogLine[] {
  return readdirSync(directory)
    .filter(file => file.endsWith('.log'))
    .flatMap(file => readFileSync(join(directory, file), 'utf8').split('\n'))
    .flatMap(parseLine)
    .sort((a, b) => (a.time < b.time ? -1 : Number(a.time > b.time)));
}

/** Parses a line; the last one of a killed process may be cut off. */
function parseLine(text: string): LogLine[] {
  try {
    return [JSON.parse(text) as LogLine];
  } catch {
    return [];
  }
}

function timeOf({ time }: LogLine): number {
  return Math.round(Date.parse(time) - performance.timeOrigin);
}

/** What is known when a line is read. */
interface ReadSoFar {
  /** Why runs were given up, by host and worker. */
  readonly reasons: ReadonlyMap<string, string>;
  readonly record: CrashRecord;
  /** Highest epoch in which a host leads. */
  readonly epoch: number;
}

function lostRun(
  line: LogLine,
  { reasons, record, epoch }: ReadSoFar,
): LostRun {
  const { crashes, fleetSize } = record;
  const worker = line.worker ?? '';
  const at = timeOf(line);
  const crash = crashes.get(worker);
  const recent = [...crashes.values()].filter(
    other => other.at <= at && at - other.at < SETTLED_MS,
  );
  return {
    task: line.task ?? '',
    run: line.run ?? 0,
    worker,
    host: line.host,
    epoch: line.epoch ?? 0,
    superseded: (line.epoch ?? 0) < epoch,
    at,
    suspicion: line.suspicion ?? '',
    age: `${line.age?.from ?? '?'}-${line.age?.to ?? '?'}`,
    noise: Number((line.noise ?? 0).toFixed(4)),
    crashShare: Number((recent.length / fleetSize).toFixed(2)),
    reason: reasons.get(`${line.host} ${worker}`) ?? '?',
    crash:
      crash === undefined || crash.at > at
        ? 'alive'
        : `${crash.cause} ${Math.round(at - crash.at)} ms before`,
  };
}
