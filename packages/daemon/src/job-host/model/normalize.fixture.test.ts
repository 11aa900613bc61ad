/**
 * Normalizes states: removes what can no longer have an effect, so that states that differ only in
 * that are equal.
 */
import type { Instant } from '@paddlewind/domain';

import { INBOX_STALE_MS, LEASE_HORIZON_MS } from '../timing.js';
import { leaderView } from './leader-steps.fixture.test.js';
import {
  append,
  TICK_MS,
  type Host,
  type LeaderState,
  type Link,
  type Message,
  type State,
  type Worker,
} from './states.fixture.test.js';
import type { Bounds } from './steps.fixture.test.js';
import { workerAt } from './worker-steps.fixture.test.js';

/** Returns the simplest state with the same future. */
export function normalize(state: State, bounds: Bounds): State {
  const messages = state.messages.filter(message =>
    canTakeEffect(state, message, bounds),
  );
  const delayedAppends = state.delayedAppends.filter(
    delayed => append(state.journal, delayed).journal !== state.journal,
  );
  const hasNoMessages = messages.length === 0;
  const [first, second] = state.workers;
  const [a, b] = state.hosts;
  return {
    ...state,
    messages,
    delayedAppends,
    workers: [
      hasNoMessages ? normalizeWorker(first) : first,
      hasNoMessages ? normalizeWorker(second) : second,
    ],
    hosts: [
      normalizeHost(a, state.now, bounds),
      normalizeHost(b, state.now, bounds),
    ],
  };
}

function canTakeEffect(
  state: State,
  message: Message,
  { fault }: Bounds,
): boolean {
  const { to, kind, fence, leaseUntil } = message;
  const worker = workerAt(state, to);
  const isFenced = fence < worker.fence && fault !== 'no_fence';
  const isTooLate = kind === 'start' && leaseUntil <= state.now;
  return !(worker.dead || isFenced || isTooLate);
}

/** The lease of a worker without runs is irrelevant, since the next start brings its own. */
function normalizeWorker(worker: Worker): Worker {
  return worker.active.length > 0 || worker.leaseUntil === 0
    ? worker
    : { ...worker, leaseUntil: 0 };
}

function normalizeHost(host: Host, now: Instant, bounds: Bounds): Host {
  const { lead } = host;
  if (lead === undefined) {
    return host;
  }
  const normalized = normalizeLeader(lead, now, bounds);
  return normalized === lead ? host : { ...host, lead: normalized };
}

function normalizeLeader(
  lead: LeaderState,
  now: Instant,
  { cancels }: Bounds,
): LeaderState {
  const { run, at } = leaderView(lead);
  const inboxAt = cancels
    ? Math.max(lead.inboxAt, staleTime(now, INBOX_STALE_MS))
    : now;
  const confirmedAt = Math.max(
    lead.confirmedAt,
    staleTime(now, LEASE_HORIZON_MS),
  );
  const first =
    run > 0 && at === 0 ? lead.links[0] : normalizeLink(lead.links[0]);
  const second =
    run > 0 && at === 1 ? lead.links[1] : normalizeLink(lead.links[1]);
  const same =
    inboxAt === lead.inboxAt &&
    confirmedAt === lead.confirmedAt &&
    first === lead.links[0] &&
    second === lead.links[1];
  return same
    ? lead
    : { ...lead, inboxAt, confirmedAt, links: [first, second] };
}

/** Returns a time that is certainly older than `age`; all earlier times are equivalent. */
function staleTime(now: Instant, age: number): Instant {
  return now - (Math.floor(age / TICK_MS) + 1) * TICK_MS;
}

/** Without a run only the difference between the clocks matters; it is zero unless an answer was slow. */
function normalizeLink(link: Link): Link {
  const plain = link.firstClock === 0 && link.extendedUntil === -1;
  return link.answeredAt < 0 || link.clock !== link.answeredAt || plain
    ? link
    : { ...link, firstClock: 0, clock: 0, answeredAt: 0, extendedUntil: -1 };
}
