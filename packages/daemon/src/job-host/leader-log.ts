/** Log lines of a leader about runs and jobs. */
import {
  workersLostUnder,
  objectiveMsOf,
  refOf,
  statusOf,
  taskName,
  expectedWorkOf,
  type Occurrence,
  type Run,
  type RunTimes,
  type Task,
} from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { WonClaim } from './leadership.js';

/** The leader that writes a line. */
interface LogSource {
  readonly ctx: HostContext;
  readonly claim: WonClaim;
}

/** Logs `msg` with the fields of a run. */
export function logRun(
  { ctx, claim }: LogSource,
  { task, number, worker }: Run,
  msg: string,
  more: Record<string, unknown>,
): void {
  const name = taskName(refOf(task));
  const { failures } = task;
  const { epoch } = claim;
  ctx.log.info(
    { task: name, run: number, worker, epoch, failures, ...more },
    msg,
  );
}

/** Logs that a task is abandoned, and which workers were lost while running it. */
export function logAbandonedTask({ ctx, claim }: LogSource, task: Task): void {
  const workers = workersLostUnder(task);
  const name = taskName(refOf(task));
  const { epoch } = claim;
  ctx.log.warn(
    { task: name, epoch, workers, runs: task.lastRun },
    'leader: a task is given up, workers were lost under it',
  );
}

/** Logs that a worker lists a run as done that is not open here, while its task is not done. */
export function logStrayEnd(
  { ctx, claim }: LogSource,
  task: Task,
  { worker, run }: { readonly worker: string; readonly run: number },
): void {
  const open = task.runs.map(({ number }) => number);
  const { status, lastRun } = task;
  const name = taskName(refOf(task));
  const { epoch } = claim;
  ctx.log.warn(
    { task: name, run, worker, epoch, status, lastRun, open },
    'leader: a run is done that was not open',
  );
}

/** Logs how long a finished job took, and its objective. */
export function logJobFinished(
  ctx: HostContext,
  times: RunTimes,
  occurrence: Occurrence,
): void {
  const { job, steps } = occurrence;
  const tasks = steps.flatMap(step => step.tasks);
  const tookMs = ctx.clock() - (job.seenAt ?? 0);
  ctx.log.info(
    {
      job: job.spec.id,
      queue: job.spec.terms.queue,
      status: statusOf(job),
      tookMs: Math.round(tookMs),
      times: times.kind,
      longestMs: steps.map(step => Math.round(times.longestMs(step))),
      objectiveMs: Math.round(objectiveMsOf(occurrence, times)),
      tasks: tasks.length,
      runs: tasks.reduce((sum, { lastRun }) => sum + lastRun, 0),
      coreMs: Math.round(expectedWorkOf(occurrence, times)),
    },
    'leader: a job is over',
  );
}
