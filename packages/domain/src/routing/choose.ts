/** Choice of a backend server for one request. */
import type { Instant } from '../core/time.js';
import { type Backend, isEjected } from './backend-pool.js';
import type { DispatcherState } from './dispatcher-state.js';

/** Returns the server to send to now, or undefined when the request has to wait. */
export function chooseBackend(
  state: DispatcherState,
  avoid: readonly string[],
  now: Instant,
): Backend | undefined {
  const { live } = state.pool;
  const usable = live.filter(
    backend => backend.inFlight < state.share && !isEjected(backend, now),
  );
  const preferred = usable.filter(({ address }) => !avoid.includes(address));
  const first = pick(state, preferred);
  const second = pick(state, preferred);
  if (first === undefined || second === undefined) {
    return pick(state, usable);
  }
  return first.inFlight <= second.inFlight ? first : second;
}

function pick(
  state: DispatcherState,
  candidates: readonly Backend[],
): Backend | undefined {
  return candidates[Math.floor(state.options.random() * candidates.length)];
}
