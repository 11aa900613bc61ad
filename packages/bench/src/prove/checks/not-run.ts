/** A request that is said not to have run did not run. */
import type { Check, Finding } from '../check.js';
import type { History } from '../history.js';
import { requestsOf } from './requests.js';

/** Checks that no backend server ever began a request whose refusal claims `not_run`. */
export const notRunCheck: Check = {
  name: 'not_run',
  promise: 'When a caller is told that a request was not run, it was not.',
  cases: 'refusals that claim not_run',
  check,
};

function check(history: History): Finding {
  const refused = requestsOf(history).filter(
    ({ done }) =>
      done?.end.kind === 'refused' && done.end.outcome === 'not_run',
  );
  const violations = refused.flatMap(({ sent, done, began }) => {
    if (began.length === 0 || done === undefined) {
      return [];
    }
    const message = `${sent.request} was said not to have run, but began`;
    return [{ message, events: [sent, ...began, done] }];
  });
  return { checked: refused.length, violations };
}
