/** Attributes a job's time to phases, along the critical path of its runs. */
import type { LoggedJob, LoggedRun } from './job-runs.js';

/** How a span of a job's time was spent; the reason of a wait comes from the leader's fleet account. */
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

/** A span of a job's time and its phase. */
export interface Span {
  readonly phase: PhaseName;
  readonly from: number;
  readonly to: number;
}

/** Returns why tasks of a queue waited at a given time, with the fraction of the tasks for each reason. */
export type WaitReasonsAt = (
  queue: string,
  at: number,
) => readonly (readonly [WaitPhase, fraction: number])[];

/** Phase of a job that waits. */
type WaitPhase = 'leader absent' | `waiting: ${string}`;

/** A run that exceeds its expected time by this factor counts as slowed after the expected time. */
const SLOWED_FACTOR = 1.5;

/** Interval at which leaders log the reasons of waits. */
const WAIT_SLICE_MS = 1_000;

/** Phases of runs that did not complete, by how they ended. */
const REPEAT_PHASES: Readonly<Record<string, PhaseName>> = {
  failed: 'run again after a failure',
  stopped: 'run again after a stop',
  lapsed: 'run again after a lost worker or lease',
  lost: 'run again after a lost worker or lease',
  broken: 'run again after a lost worker or lease',
  void: 'ordered and never begun',
};

/** Returns the spans of a job from its first submission until it finished, or until `endOfLogs`. */
export function spansOf(
  job: LoggedJob,
  reasonsAt: WaitReasonsAt,
  endOfLogs: number,
): Span[] {
  const end = Math.min(job.finishedAt, endOfLogs);
  const spans: Span[] = [];
  let cursor = end;
  const addSpan = (phase: PhaseName, from: number): void => {
    const begin = Math.max(job.acceptedAt, Math.min(from, cursor));
    if (begin < cursor) {
      spans.push({ phase, from: begin, to: cursor });
    }
    cursor = begin;
  };
  const addWait = (from: number): void => {
    for (const { reason, since } of sliceWait(job, from, cursor, reasonsAt)) {
      addSpan(reason, since);
    }
  };
  for (const run of criticalPath(job, end)) {
    addWait(run.endedAt);
    addRun(run, addSpan, cursor);
  }
  addWait(job.acceptedAt);
  if (job.submittedAt < job.acceptedAt) {
    spans.push({
      phase: 'acceptance',
      from: job.submittedAt,
      to: job.acceptedAt,
    });
  }
  return spans;
}

/** A slice of a wait and its reason. */
interface WaitSlice {
  readonly reason: PhaseName;
  readonly since: number;
}

/** Splits a wait into seconds, and each of them among the reasons at its end; latest first. */
function sliceWait(
  { queue }: LoggedJob,
  from: number,
  to: number,
  reasonsAt: WaitReasonsAt,
): WaitSlice[] {
  const slices: WaitSlice[] = [];
  for (let at = to; at > from; at -= WAIT_SLICE_MS) {
    const sliceFrom = Math.max(from, at - WAIT_SLICE_MS);
    const lengthMs = at - sliceFrom;
    let since = at;
    for (const [reason, fraction] of reasonsAt(queue, at)) {
      since -= fraction * lengthMs;
      slices.push({ reason, since });
    }
  }
  return slices;
}

function addRun(
  { orderedAt, endedAt, outcome, expectedMs }: LoggedRun,
  addSpan: (phase: PhaseName, from: number) => void,
  end: number,
): void {
  const repeatPhase = REPEAT_PHASES[outcome];
  if (repeatPhase !== undefined) {
    addSpan(repeatPhase, orderedAt);
    return;
  }
  const durationMs = Math.min(endedAt, end) - orderedAt;
  if (expectedMs > 0 && durationMs > expectedMs * SLOWED_FACTOR) {
    addSpan('slowed', orderedAt + expectedMs);
  }
  addSpan('running', orderedAt);
}

/** Returns, from the last step to the first, all runs of the task that ended last before the next step's runs. */
function criticalPath({ runs }: LoggedJob, end: number): LoggedRun[] {
  const found: LoggedRun[] = [];
  const steps = [...new Set(runs.map(({ step }) => step))].sort(
    (a, b) => b - a,
  );
  let before = end;
  for (const step of steps) {
    const own = runs.filter(run => run.step === step && run.orderedAt < before);
    const last = lastToEnd(own, before);
    if (last !== undefined) {
      const ofTask = own.filter(
        ({ task, orderedAt }) =>
          task === last.task && orderedAt <= last.orderedAt,
      );
      ofTask.sort((a, b) => b.orderedAt - a.orderedAt);
      found.push(...ofTask);
      before = ofTask.at(-1)?.orderedAt ?? before;
    }
  }
  return found;
}

function lastToEnd(
  runs: readonly LoggedRun[],
  end: number,
): LoggedRun | undefined {
  const endOf = ({ endedAt }: LoggedRun): number => Math.min(endedAt, end);
  return runs.reduce<LoggedRun | undefined>(
    (last, run) =>
      last === undefined || endOf(run) > endOf(last) ? run : last,
    undefined,
  );
}
