/**
 * Decides which running tasks get a copy on another worker. Only steps that allow it have copies;
 * the first one to be done counts, and the other is stopped.
 */
import type { Instant, Millis } from '../core/time.js';
import { suspicionPercent } from './suspect-tasks.js';
import type { Run, Step } from './job.js';
import { placeInputOf, type ApplyStart, type PlanInput } from './plan.js';
import { chooseWorker, type PlaceInput } from './placement.js';

/** A run is not judged before this long: reports come up to a second apart. */
const MIN_AGE_MS: Millis = 600;
/** Time that a copy takes to begin and to be told of, beyond its run time. */
const COPY_EXTRA_MS: Millis = 300;
/** A copy has to be expected to end this much sooner than the run, as a share of a run time. */
const GAIN_SHARE = 0.5;
/** A worker that has not reported for this long may be lost: looks wait 1 s and time out 0.4 s later. */
const SILENCE_MS: Millis = 1_600;
/** Most copies that one round starts: they take room that other tasks may need soon. */
const MAX_COPIES = 8;

/** Starts copies of runs that are far behind, in room that nothing waits for. */
export function planSpeculativeCopies(input: PlanInput, start: ApplyStart): void {
  const place = placeInputOf(input);
  let left = MAX_COPIES;
  for (const run of singleRuns(input)) {
    if (left === 0) {
      return;
    }
    const expected = input.times.expectedMs(run.task.step);
    if (
      isBehind(run, expected, input.time.now) &&
      startCopy(place, run, start)
    ) {
      left -= 1;
    }
  }
}

/** Runs that are the only one of a task that may have copies. */
function* singleRuns({ state }: PlanInput): Iterable<Run> {
  for (const job of state.open) {
    for (const { steps } of job.occurrences.values()) {
      for (const step of steps.filter(mayHaveCopies)) {
        // A copy of what may bring its worker down would cost another one.
        const sound = step.tasks.filter(task => suspicionPercent(task) === 0);
        for (const { status, runs } of sound) {
          const [only] = runs;
          if (status === 'running' && only !== undefined && runs.length === 1) {
            yield only;
          }
        }
      }
    }
  }
}

function mayHaveCopies({ spec, remaining }: Step): boolean {
  return spec.speculative && !spec.lasting && !spec.gang && remaining > 0;
}

/** Tells whether a copy that begins now is expected to end well before the run. */
export function isBehind(run: Run, expected: Millis, now: Instant): boolean {
  const { progress } = run;
  if (progress?.confirmed !== true || progress.stopping) {
    return false;
  }
  if (now - progress.seenAt > SILENCE_MS) {
    return true;
  }
  const age = progress.seenAt - progress.since;
  if (age < MIN_AGE_MS) {
    return false;
  }
  const done = progress.percent / 100;
  const runLeft = done === 0 ? Infinity : (age * (1 - done)) / done;
  return runLeft > expected * (1 + GAIN_SHARE) + COPY_EXTRA_MS;
}

function startCopy(place: PlaceInput, run: Run, start: ApplyStart): boolean {
  const { task } = run;
  const elsewhere = place.workers.filter(({ info }) => info.id !== run.worker);
  const worker = chooseWorker({ ...place, workers: elsewhere }, task);
  if (worker === undefined) {
    return false;
  }
  start({ task, run: task.lastRun + 1, worker: worker.info.id });
  return true;
}
