/** No task runs in two places at once. */
import type { Check, Finding } from '../check.js';
import type { History } from '../history.js';
import { attemptsByTask, endOf, eventsOfAttempt } from './attempts.js';

/** Checks that the attempts of a task never overlap. */
export const onePlaceCheck: Check = {
  name: 'one_place',
  promise: 'No task runs in two places at once.',
  cases: 'attempts of tasks',
  check,
};

function check(history: History): Finding {
  const byTask = attemptsByTask(history);
  const violations = [...byTask].flatMap(([task, attempts]) =>
    attempts.flatMap((attempt, i) => {
      const earlier = attempts
        .slice(0, i)
        .find(other => endOf(other) > attempt.began.at);
      if (earlier === undefined) {
        return [];
      }
      const events = [...eventsOfAttempt(earlier), attempt.began];
      return [{ message: `${task} runs in two places`, events }];
    }),
  );
  const checked = [...byTask.values()].flat().length;
  return { checked, violations };
}
