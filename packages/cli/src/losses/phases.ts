/** Attributes a job's time to phases, along the chain of runs that decided when it was over. */
import type { LoggedJob, LoggedRun } from './job-runs.js';

/** What a job's time is spent on; a wait has the reason that the leader's account tells. */
export type PhaseName =
  | 'acceptance'
  | 'leader absent'
  | `waiting: ${string}`
  | 'running'
  | 'slowed'
  | 'run again after a failure'
  | 'run again after a stop'
  | 'run again after a lost worker or lease'
  | 'ordered and never begun';

/** A span of a job's time and what it was spent on. */
export interface Span {
  readonly phase: PhaseName;
  readonly from: number;
  readonly to: number;
}

/** Why tasks of a queue waited at a time, as its leader told. */
export type ReasonAt = (
  queue: string,
  at: number,
) => 'leader absent' | `waiting: ${string}`;

/** A run that took longer than expected by this factor was slowed by the rest of its time. */
const SLOWED_FACTOR = 1.5;

/** Runs that did not end as done, by how they ended. */
const REPEATED: Readonly<Record<string, PhaseName>> = {
  failed: 'run again after a failure',
  stopped: 'run again after a stop',
  lapsed: 'run again after a lost worker or lease',
  lost: 'run again after a lost worker or lease',
  broken: 'run again after a lost worker or lease',
  void: 'ordered and never begun',
};

/** Returns the spans of a job from its first request to its end, or to `endOfLogs`. */
export function spansOf(
  job: LoggedJob,
  reasonAt: ReasonAt,
  endOfLogs: number,
): Span[] {
  const end = Math.min(job.overAt, endOfLogs);
  const spans: Span[] = [];
  let left = end;
  const add = (phase: PhaseName, from: number): void => {
    const begin = Math.max(job.acceptedAt, Math.min(from, left));
    if (begin < left) {
      spans.push({ phase, from: begin, to: left });
    }
    left = begin;
  };
  const wait = (from: number): void => {
    for (const { reason, since } of waitsBetween(job, from, left, reasonAt)) {
      add(reason, since);
    }
  };
  for (const run of decidingRuns(job, end)) {
    wait(run.to);
    addRun(run, add, left);
  }
  wait(job.acceptedAt);
  if (job.askedAt < job.acceptedAt) {
    spans.push({
      phase: 'acceptance',
      from: job.askedAt,
      to: job.acceptedAt,
    });
  }
  return spans;
}

/** A piece of a wait and its reason. */
interface Wait {
  readonly reason: PhaseName;
  readonly since: number;
}

/** The reasons of a wait, the latest first, in pieces of a second as leaders tell them. */
function waitsBetween(
  { queue }: LoggedJob,
  from: number,
  to: number,
  reasonAt: ReasonAt,
): Wait[] {
  const pieces: Wait[] = [];
  for (let at = to; at > from; at -= PIECE_MS) {
    const since = Math.max(from, at - PIECE_MS);
    pieces.push({ reason: reasonAt(queue, at), since });
  }
  return pieces;
}

/** Leaders tell the reasons of waits once a second. */
const PIECE_MS = 1_000;

function addRun(
  { from, to, how, expectedMs }: LoggedRun,
  add: (phase: PhaseName, from: number) => void,
  end: number,
): void {
  const repeated = REPEATED[how];
  if (repeated !== undefined) {
    add(repeated, from);
    return;
  }
  const took = Math.min(to, end) - from;
  if (expectedMs > 0 && took > expectedMs * SLOWED_FACTOR) {
    add('slowed', from + expectedMs);
  }
  add('running', from);
}

/** The runs that decided the end, the latest first: each task's last in a step, then what came before it. */
function decidingRuns({ runs }: LoggedJob, end: number): LoggedRun[] {
  const found: LoggedRun[] = [];
  const steps = [...new Set(runs.map(({ step }) => step))].sort(
    (a, b) => b - a,
  );
  let before = end;
  for (const step of steps) {
    const own = runs.filter(run => run.step === step && run.from < before);
    const last = latest(own, before);
    if (last !== undefined) {
      const ofTask = own.filter(
        ({ task, from }) => task === last.task && from <= last.from,
      );
      ofTask.sort((a, b) => b.from - a.from);
      found.push(...ofTask);
      before = ofTask.at(-1)?.from ?? before;
    }
  }
  return found;
}

function latest(
  runs: readonly LoggedRun[],
  end: number,
): LoggedRun | undefined {
  const endOf = ({ to }: LoggedRun): number => Math.min(to, end);
  return runs.reduce<LoggedRun | undefined>(
    (best, run) =>
      best === undefined || endOf(run) > endOf(best) ? run : best,
    undefined,
  );
}
