/** Runs a dispatcher against simulated backend servers in virtual time and records the history. */
import {
  seededRandom,
  type Dispatch,
  type Dispatcher,
  type Random,
  type RequestInfo,
  type TryResult,
} from '@paddlewind/domain';

import { inOrder, type History, type HistoryEvent } from '../history.js';

/** Requests of the run, and the time between two. */
const REQUESTS = 300;
const EVERY_MS = 30;
const ANSWER_MS = 5;
const TIMEOUT_MS = 2_000;
/** When the last server begins to leave. */
const LEAVE_AT_MS = 500;
/** Shares of tries that are not sent and that break. */
const NOT_SENT_SHARE = 0.1;
const BROKEN_SHARE = 0.2;
const BACKENDS = ['b1', 'b2', 'b3', 'b4'];

interface Run {
  readonly dispatcher: Dispatcher;
  readonly random: Random;
  readonly events: HistoryEvent[];
  readonly requests: Map<number, RequestInfo>;
  /** Tries under way by the instant at which they end. */
  readonly due: { at: number; id: number; backend: string }[];
}

/** Drives `dispatcher` with a seeded mix of answers, breaks and refused connections. */
export function runDispatcher(dispatcher: Dispatcher, seed = 1): History {
  const random = seededRandom(seed);
  const run = { dispatcher, random, events: [], requests: new Map(), due: [] };
  setBackends(run, 'live', 0);
  const end = REQUESTS * EVERY_MS + TIMEOUT_MS;
  for (let now = 0; now <= end; now++) {
    step(run, now);
  }
  const { events } = run as Run;
  events.push({ type: 'settled', at: end + 1 });
  return inOrder(events);
}

function step(run: Run, now: number): void {
  if (now === LEAVE_AT_MS) {
    setBackends(run, 'leaving', now);
  }
  if (now % EVERY_MS === 0 && now / EVERY_MS < REQUESTS) {
    offer(run, now / EVERY_MS, now);
  }
  const due = run.due.filter(tried => tried.at === now);
  due.forEach(tried => {
    endTry(run, tried.id, tried.backend, now);
  });
  obey(run, run.dispatcher.tick(now), now);
}

function setBackends(run: Run, state: 'live' | 'leaving', now: number): void {
  const last = BACKENDS.at(-1) ?? '';
  const backends = BACKENDS.map(address => ({
    address,
    worker: address,
    availabilityZone: 'z',
    state: address === last ? state : ('live' as const),
  }));
  run.events.push({ type: 'host_listed', at: now, host: last, state });
  obey(run, run.dispatcher.setBackends(backends, now), now);
}

function offer(run: Run, id: number, now: number): void {
  const idempotent = run.random() < 0.5;
  const req = { id, deadline: now + TIMEOUT_MS, idempotent };
  run.requests.set(id, req);
  const request = String(id);
  const what = { request, entry: 'e1', idempotent };
  run.events.push({ type: 'request_sent', at: now, ...what });
  obey(run, run.dispatcher.offer(req, now), now);
}

function obey(run: Run, verdicts: readonly Dispatch[], now: number): void {
  for (const verdict of verdicts) {
    switch (verdict.kind) {
      case 'queued':
        break;
      case 'send':
        run.due.push({ ...verdict, at: now + ANSWER_MS });
        break;
      case 'refused': {
        const { outcome } = verdict.error;
        const end = { kind: 'refused', status: 503, outcome } as const;
        const request = String(verdict.id);
        const done = { request, entry: 'e1', end };
        run.events.push({ type: 'request_done', at: now, ...done });
      }
    }
  }
}

function endTry(run: Run, id: number, backend: string, now: number): void {
  const result = drawResult(run.random);
  const request = String(id);
  if (result.kind !== 'not_sent') {
    const began = { request, backend, method: 'POST' };
    run.events.push({ type: 'request_began', at: now - 1, ...began });
  }
  obey(run, run.dispatcher.finish(id, backend, result, now), now);
  if (result.kind === 'answered') {
    const end = { kind: 'answered', status: 200, own: true } as const;
    const done = { request, entry: 'e1', end };
    run.events.push({ type: 'request_done', at: now, ...done });
    return;
  }
  const req = run.requests.get(id);
  if (req !== undefined) {
    obey(run, run.dispatcher.retry(req, result, now), now);
  }
}

function drawResult(random: Random): TryResult {
  const draw = random();
  if (draw < NOT_SENT_SHARE) {
    return { kind: 'not_sent' };
  }
  return draw < NOT_SENT_SHARE + BROKEN_SHARE
    ? { kind: 'broken' }
    : { kind: 'answered', status: 200 };
}
