/** Every planned stop is graceful. */
import type { Check, Finding, Violation } from '../check.js';
import { eventsOf, type EventOf, type History } from '../history.js';
import { requestsOf } from './requests.js';

/** Time that a planned stop may take, in milliseconds. */
const STOP_LIMIT_MS = 15_000;

/** Checks that an entry host that is asked to stop exits with 0 in time and breaks no request. */
export const gracefulStopCheck: Check = {
  name: 'graceful_stop',
  promise: 'Every planned stop is a graceful shutdown.',
  cases: 'planned stops',
  check,
};

function check(history: History): Finding {
  const stops = eventsOf(history, 'fault_began').filter(
    fault => fault.fault === 'entry_stopped',
  );
  const violations = stops.flatMap(stop => [
    ...badExit(history, stop),
    ...brokenRequests(history, stop),
  ]);
  return { checked: stops.length, violations };
}

function badExit(history: History, stop: EventOf<'fault_began'>): Violation[] {
  const exit = eventsOf(history, 'entry_exited').find(
    event => event.entry === stop.target && event.at >= stop.at,
  );
  if (exit === undefined) {
    const message = `${stop.target} did not exit`;
    return [{ message, events: [stop] }];
  }
  const tookMs = Math.round(exit.at - stop.at);
  if (exit.code === 0 && tookMs <= STOP_LIMIT_MS) {
    return [];
  }
  const how = exit.code === null ? 'by a signal' : `with ${exit.code}`;
  const message = `${stop.target} exited ${how} after ${tookMs} ms`;
  return [{ message, events: [stop, exit] }];
}

function brokenRequests(
  history: History,
  stop: EventOf<'fault_began'>,
): Violation[] {
  const exit = eventsOf(history, 'entry_exited').find(
    event => event.entry === stop.target && event.at >= stop.at,
  );
  return requestsOf(history).flatMap(({ sent, done, ended }) => {
    const held =
      sent.entry === stop.target &&
      sent.at <= (exit?.at ?? Infinity) &&
      (done?.at ?? Infinity) >= stop.at;
    const byBackend = ended.some(event => event.answer === 'broken');
    if (!held || byBackend || done?.end.kind !== 'broken') {
      return [];
    }
    const message = `${stop.target} broke ${sent.request} while it stopped`;
    return [{ message, events: [stop, sent, done] }];
  });
}
