/** Leaving hosts receive no new work after a few seconds. */
import type { Check, Finding, Violation } from '../check.js';
import {
  eventsOf,
  type EventOf,
  type History,
  type HistoryEvent,
} from '../history.js';

/** Time from the platform's mark to the last new work, with the list's lag, in milliseconds. */
export const LEAVING_LIMIT_MS = 5_000;

/** Checks that no request and no task begins on a host that has been leaving for some seconds. */
export const leavingCheck: Check = {
  name: 'leaving',
  promise: 'A leaving backend server receives no new work after a few seconds.',
  cases: 'hosts that left',
  check,
};

function check(history: History): Finding {
  const leaving = eventsOf(history, 'host_listed').filter(
    event => event.state === 'leaving',
  );
  const violations = leaving.flatMap(mark => lateWork(history, mark));
  return { checked: leaving.length, violations };
}

function lateWork(history: History, mark: EventOf<'host_listed'>): Violation[] {
  const back = eventsOf(history, 'host_listed').find(
    event =>
      event.host === mark.host && event.state === 'live' && event.at > mark.at,
  );
  const from = mark.at + LEAVING_LIMIT_MS;
  const to = back?.at ?? Infinity;
  return history
    .filter(event => event.at > from && event.at < to)
    .filter(event => isWorkOn(event, mark.host))
    .map(event => {
      const lateMs = Math.round(event.at - mark.at);
      const message = `${mark.host} got new work ${lateMs} ms after it began to leave`;
      return { message, events: [mark, event] };
    });
}

function isWorkOn(event: HistoryEvent, host: string): boolean {
  return (
    (event.type === 'request_began' && event.backend === host) ||
    (event.type === 'task_began' && event.worker === host)
  );
}
