/** No worker is given more than it holds. */
import {
  addResources,
  fits,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '@paddlewind/domain';

import type { Check, Finding, Violation } from '../check.js';
import { eventsOf, groupBy, type History } from '../history.js';
import { attemptsOf, endOf, type Attempt } from './attempts.js';

/** Checks that declared sizes never add up to more than the worker's capacity. */
export const capacityCheck: Check = {
  name: 'capacity',
  promise: 'No host is given more work than it can hold.',
  cases: 'starts of tasks',
  check,
};

function check(history: History): Finding {
  const violations: Violation[] = [];
  const attempts = attemptsOf(history);
  const byWorker = groupBy(attempts, ({ began }) => began.worker);
  for (const [worker, own] of byWorker) {
    violations.push(...overCapacity(history, worker, own));
  }
  return { checked: attempts.length, violations };
}

function overCapacity(
  history: History,
  worker: string,
  attempts: readonly Attempt[],
): Violation[] {
  const up = eventsOf(history, 'worker_up').find(e => e.worker === worker);
  if (up === undefined) {
    return [];
  }
  const placed = eventsOf(history, 'service_placed').filter(
    event => event.worker === worker,
  );
  const room = subtractResources(up.capacity, sum(placed));
  return attempts.flatMap(({ began }) => {
    const running = attempts
      .filter(other => other.began.at <= began.at && endOf(other) > began.at)
      .map(other => other.began);
    if (fits(sum(running), room)) {
      return [];
    }
    const message = `${worker} holds more than its capacity from the start of ${began.task}`;
    return [{ message, events: [up, ...placed, ...running] }];
  });
}

function sum(events: readonly { readonly size: Resources }[]): Resources {
  return events.map(event => event.size).reduce(addResources, NO_RESOURCES);
}
