/** The lines of a leader's log that tell of runs and jobs. */
import {
  workersLostUnder,
  objectiveOf,
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

/** Whose line it is. */
interface Writer {
  readonly ctx: HostContext;
  readonly claim: WonClaim;
}

/** Tells of a run. */
export function logRun(
  { ctx, claim }: Writer,
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

/** Tells of a task that is given up, and which workers were lost under it. */
export function logGivenUp({ ctx, claim }: Writer, task: Task): void {
  const workers = workersLostUnder(task);
  const name = taskName(refOf(task));
  const { epoch } = claim;
  ctx.log.warn(
    { task: name, epoch, workers, runs: task.lastRun },
    'leader: a task is given up, workers were lost under it',
  );
}

/** Tells of a run that a worker lists as done and that is not open here, of a task that is not done here. */
export function logStrayEnd(
  { ctx, claim }: Writer,
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

/** Tells how long a job took, and against which objective, once it is over. */
export function logJobOver(
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
      objectiveMs: Math.round(objectiveOf(occurrence, times)),
      tasks: tasks.length,
      runs: tasks.reduce((sum, { lastRun }) => sum + lastRun, 0),
      coreMs: Math.round(expectedWorkOf(occurrence, times)),
    },
    'leader: a job is over',
  );
}
