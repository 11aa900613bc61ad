/**
 * Decides which running tasks get a speculative copy on another worker. Only steps that allow it have copies.
 * The first run to complete counts, and the other one is stopped.
 */
import type { Instant, Millis } from '../core/time.js';
import { suspicionPercent } from './suspect-tasks.js';
import type { Run, Step } from './job.js';
import { placementInputOf, type ApplyStart, type PlanInput } from './plan.js';
import { chooseWorker } from './choose-worker.js';
import type { PlacementInput } from './placement.js';
import type { RunTimes } from './run-times.js';

/** Run time before which a run is never a straggler, since reports come up to a second apart. */
const MIN_RUN_TIME_MS: Millis = 600;
/** Time to start a copy and to receive its result, beyond its run time. */
const COPY_OVERHEAD_MS: Millis = 300;
/** Least expected time saved by a copy, as a fraction of the expected run time. */
const MIN_GAIN_FRACTION = 0.5;
/** Time without a report after which a worker may be lost: polls wait 1 s and time out 0.4 s later. */
const SILENCE_TIMEOUT_MS: Millis = 1_600;
/** Most copies started in one round, since they take capacity that other tasks may need soon. */
const MAX_COPIES_PER_ROUND = 8;

/** Starts copies of stragglers in capacity that no waiting task needs. */
export function planSpeculativeCopies(
  input: PlanInput,
  start: ApplyStart,
): void {
  const placement = placementInputOf(input);
  let copiesLeft = MAX_COPIES_PER_ROUND;
  for (const run of runsWithoutCopy(input)) {
    if (copiesLeft === 0) {
      return;
    }
    if (
      needsCopy(run, input.times, input.time.now) &&
      startCopy(placement, run, start)
    ) {
      copiesLeft -= 1;
    }
  }
}

/** Yields the runs that may get a copy and have none yet. */
function* runsWithoutCopy({ state }: PlanInput): Iterable<Run> {
  for (const job of state.openJobs) {
    for (const { steps } of job.occurrences.values()) {
      for (const step of steps.filter(allowsCopies)) {
        // A copy of a task that may crash its worker could crash a second worker.
        const unsuspectedTasks = step.tasks.filter(
          task => suspicionPercent(task) === 0,
        );
        for (const { status, runs } of unsuspectedTasks) {
          const [run] = runs;
          if (status === 'running' && run !== undefined && runs.length === 1) {
            yield run;
          }
        }
      }
    }
  }
}

function allowsCopies({ spec, remaining }: Step): boolean {
  return spec.speculative && !spec.lasting && !spec.gang && remaining > 0;
}

/** Tells whether a copy started now is expected to end well before the run. */
function needsCopy(run: Run, times: RunTimes, now: Instant): boolean {
  switch (times.kind) {
    case 'averages':
      return isStraggler(run, times.expectedMs(run.task.step), now);
    case 'distributions':
      return (
        straggles(run, now) ??
        isSlower(times.remainingMs(run, now), times.copyMs(run, now))
      );
  }
}

/** Tells by the run's average pace whether a copy started now is expected to end well before it. */
export function isStraggler(
  run: Run,
  expectedMs: Millis,
  now: Instant,
): boolean {
  return straggles(run, now) ?? isSlower(remainingByPaceMs(run), expectedMs);
}

/** Tells whether a run straggles where that does not depend on its remaining time; undefined otherwise. */
function straggles({ progress }: Run, now: Instant): boolean | undefined {
  if (progress?.confirmed !== true || progress.stopping) {
    return false;
  }
  if (now - progress.seenAt > SILENCE_TIMEOUT_MS) {
    return true;
  }
  const isNew = progress.seenAt - progress.since < MIN_RUN_TIME_MS;
  return isNew ? false : undefined;
}

function remainingByPaceMs({ progress }: Run): Millis {
  const done = (progress?.percent ?? 0) / 100;
  if (progress === undefined || done === 0) {
    return Infinity;
  }
  return ((progress.seenAt - progress.since) * (1 - done)) / done;
}

function isSlower(remainingMs: Millis, copyMs: Millis): boolean {
  return remainingMs > copyMs * (1 + MIN_GAIN_FRACTION) + COPY_OVERHEAD_MS;
}

function startCopy(
  placement: PlacementInput,
  run: Run,
  start: ApplyStart,
): boolean {
  const { task } = run;
  const otherWorkers = placement.workers.filter(
    ({ info }) => info.id !== run.worker,
  );
  const worker = chooseWorker({ ...placement, workers: otherWorkers }, task);
  if (worker === undefined) {
    return false;
  }
  start({ task, run: task.lastRun + 1, worker: worker.info.id });
  return true;
}
