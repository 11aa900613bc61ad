/** A non-idempotent request runs at most once. */
import type { Check, Finding } from '../check.js';
import { groupBy, type History } from '../history.js';
import { requestsOf, type Request } from './requests.js';

/** Checks that requests that are not idempotent, and those that share an idempotency key, begin at most once. */
export const atMostOnceCheck: Check = {
  name: 'at_most_once',
  promise: 'A non-idempotent request runs at most once.',
  cases: 'non-idempotent requests',
  check,
};

function check(history: History): Finding {
  const requests = requestsOf(history).filter(req => !req.sent.idempotent);
  const byKey = groupBy(requests, keyOf);
  const violations = [...byKey].flatMap(([key, same]) => {
    const began = same.flatMap(req => req.began);
    if (began.length <= 1) {
      return [];
    }
    const events = [...same.map(req => req.sent), ...began];
    return [{ message: `${key} ran ${began.length} times`, events }];
  });
  return { checked: byKey.size, violations };
}

function keyOf({ sent }: Request): string {
  return sent.key === undefined ? sent.request : `key ${sent.key}`;
}
