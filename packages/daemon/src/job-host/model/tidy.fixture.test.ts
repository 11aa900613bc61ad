/** Drops what can't change anything any more, so that states that differ only in it are one. */
import type { Instant } from '@paddlewind/domain';

import { INBOX_STALE_MS, LEASE_HORIZON_MS } from '../timing.js';
import { leadView } from './leader-steps.fixture.test.js';
import {
  append,
  TICK_MS,
  type Host,
  type Lead,
  type Link,
  type Message,
  type State,
  type Worker,
} from './states.fixture.test.js';
import type { Bounds } from './steps.fixture.test.js';
import { workerAt } from './worker-steps.fixture.test.js';

/** Returns the plainest state from which the same follows. */
export function tidy(state: State, bounds: Bounds): State {
  const messages = state.messages.filter(message =>
    matters(state, message, bounds),
  );
  const lateAppends = state.lateAppends.filter(
    late => append(state.journal, late).journal !== state.journal,
  );
  const calm = messages.length === 0;
  const [first, second] = state.workers;
  const [a, b] = state.hosts;
  return {
    ...state,
    messages,
    lateAppends,
    workers: [
      calm ? tidyWorker(first) : first,
      calm ? tidyWorker(second) : second,
    ],
    hosts: [tidyHost(a, state.now, bounds), tidyHost(b, state.now, bounds)],
  };
}

function matters(state: State, message: Message, { fault }: Bounds): boolean {
  const { to, kind, fence, leaseUntil } = message;
  const worker = workerAt(state, to);
  const fenced = fence < worker.fence && fault !== 'no_fence';
  const tooLate = kind === 'start' && leaseUntil <= state.now;
  return !(worker.dead || fenced || tooLate);
}

/** The lease of a worker that runs nothing is the one that comes with the next start. */
function tidyWorker(worker: Worker): Worker {
  return worker.active.length > 0 || worker.leaseUntil === 0
    ? worker
    : { ...worker, leaseUntil: 0 };
}

function tidyHost(host: Host, now: Instant, bounds: Bounds): Host {
  const { lead } = host;
  if (lead === undefined) {
    return host;
  }
  const tidied = tidyLead(lead, now, bounds);
  return tidied === lead ? host : { ...host, lead: tidied };
}

function tidyLead(lead: Lead, now: Instant, { cancels }: Bounds): Lead {
  const { run, at } = leadView(lead);
  const inboxAt = cancels
    ? Math.max(lead.inboxAt, agedBy(now, INBOX_STALE_MS))
    : now;
  const confirmedAt = Math.max(lead.confirmedAt, agedBy(now, LEASE_HORIZON_MS));
  const first = run > 0 && at === 0 ? lead.links[0] : tidyLink(lead.links[0]);
  const second = run > 0 && at === 1 ? lead.links[1] : tidyLink(lead.links[1]);
  const same =
    inboxAt === lead.inboxAt &&
    confirmedAt === lead.confirmedAt &&
    first === lead.links[0] &&
    second === lead.links[1];
  return same
    ? lead
    : { ...lead, inboxAt, confirmedAt, links: [first, second] };
}

/** A time that is certainly older than `age`; all before it are alike. */
function agedBy(now: Instant, age: number): Instant {
  return now - (Math.floor(age / TICK_MS) + 1) * TICK_MS;
}

/** Where nothing runs, only the difference between the clocks matters: none, unless an answer was slow. */
function tidyLink(link: Link): Link {
  const plain = link.firstClock === 0 && link.extendedUntil === -1;
  return link.answeredAt < 0 || link.clock !== link.answeredAt || plain
    ? link
    : { ...link, firstClock: 0, clock: 0, answeredAt: 0, extendedUntil: -1 };
}
