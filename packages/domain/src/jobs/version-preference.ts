/** Which tasks prefer workers of the newest version while a release is under way. */
import type { Millis } from '../core/time.js';
import type { Step, Task } from './job.js';
import type { RunTimes } from './run-times.js';
import { suspicionPercent } from './suspect-tasks.js';
import type { NewestVersions } from './worker-versions.js';

/** Notice that workers give before they leave: a shorter task ends on a worker that leaves next. */
const DEPARTURE_NOTICE_MS: Millis = 3_000;

/** Returns the worker version that a task prefers, or undefined if it prefers none. */
export type PreferredVersionOf = (task: Task) => string | undefined;

/**
 * Creates the preferences of one planning round; undefined while no release is under way. Suspected tasks
 * prefer no version, since they have to run beside as few others as possible.
 */
export function createVersionPreference(
  newest: NewestVersions | undefined,
  times: Pick<RunTimes, 'expectedMs'>,
): PreferredVersionOf | undefined {
  if (newest === undefined) {
    return undefined;
  }
  const versions = new Map<Step, string | undefined>();
  return task => {
    const { step } = task;
    if (!versions.has(step)) {
      versions.set(step, preferredVersionFor(step, newest, times));
    }
    return suspicionPercent(task) > 0 ? undefined : versions.get(step);
  };
}

/** Returns the newest version for a step whose tasks run for longer than the notice of a departure. */
function preferredVersionFor(
  step: Step,
  newest: NewestVersions,
  times: Pick<RunTimes, 'expectedMs'>,
): string | undefined {
  const { spec, occurrence } = step;
  const version = newest.get(occurrence.job.spec.terms.service);
  if (version === undefined || spec.lasting) {
    return version;
  }
  return times.expectedMs(step) > DEPARTURE_NOTICE_MS ? version : undefined;
}
