/** Callers behind a balancer: they send requests at a rate and record how each ended. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { Random } from '@paddlewind/domain';
import { Agent, request } from 'undici';

import type { RequestEnd } from '../prove/history.js';
import type { EntryHost } from './entry-hosts.js';
import type { Recorder } from './recorder.js';

/** Options of the callers. */
export interface CallerOptions {
  readonly entries: readonly EntryHost[];
  readonly recorder: Recorder;
  /** Host header, which selects the service. */
  readonly host: string;
  readonly perSecond: number;
  /** Share of keyed requests that the caller sends again, to another entry host. */
  readonly repeatShare: number;
  readonly random: Random;
}

/** Running callers. */
export interface Callers {
  /** Requests sent so far. */
  sent(): number;
  /** Sends no more and waits for what is under way. */
  stop(): Promise<void>;
}

const BALANCER_POLL_MS = 200;
const GIVE_UP_MS = 15_000;
const OUTCOME_HEADER = 'paddlewind-outcome';
/** Status of a backend server's own error, which carries no echo. */
const FAULT_STATUS = 500;
/** Shares of the kinds of requests; the rest are plain reads. */
const POST_SHARE = 0.3;
const KEYED_SHARE = 0.1;

/** Starts sending. */
export function startCallers(options: CallerOptions): Callers {
  const agent = new Agent({ pipelining: 1, connections: 256 });
  const balancer = startBalancer(options.entries);
  const pending = new Set<Promise<void>>();
  let sent = 0;

  function launch(): void {
    const entry = balancer.next();
    if (entry === undefined) {
      return;
    }
    sent += 1;
    const plan = planRequest(`r${sent}`, options);
    const task = sendPlan(agent, options, plan, entry, balancer.next);
    pending.add(task);
    void task.finally(() => pending.delete(task));
  }

  const timer = setInterval(launch, 1_000 / options.perSecond);
  return {
    sent: () => sent,
    async stop() {
      clearInterval(timer);
      balancer.stop();
      await Promise.all(pending);
      await agent.destroy();
    },
  };
}

interface Balancer {
  readonly next: () => EntryHost | undefined;
  readonly stop: () => void;
}

/** Sends to the entry hosts that were ready at the last look, in turn. */
function startBalancer(entries: readonly EntryHost[]): Balancer {
  let ready: readonly EntryHost[] = [];
  let turn = 0;
  let stopped = false;

  async function look(): Promise<void> {
    while (!stopped) {
      const states = await Promise.all(entries.map(entry => entry.isReady()));
      ready = entries.filter((_, i) => states[i]);
      await sleep(BALANCER_POLL_MS);
    }
  }

  void look();
  return {
    next() {
      turn += 1;
      return ready[turn % ready.length];
    },
    stop() {
      stopped = true;
    },
  };
}

interface Plan {
  readonly request: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string;
  readonly key?: string;
  readonly repeat: boolean;
}

function planRequest(id: string, options: CallerOptions): Plan {
  const { random, repeatShare } = options;
  const draw = random();
  const path = `/accounts/${id}`;
  if (draw < KEYED_SHARE) {
    const repeat = random() < repeatShare;
    const what = { request: id, path, body: `posting ${id}`, key: `key-${id}` };
    return { ...what, method: 'POST', repeat };
  }
  if (draw < POST_SHARE) {
    const body = `posting ${id}`;
    return { request: id, method: 'POST', path, body, repeat: false };
  }
  return { request: id, method: 'GET', path, body: '', repeat: false };
}

async function sendPlan(
  agent: Agent,
  options: CallerOptions,
  plan: Plan,
  entry: EntryHost,
  other: () => EntryHost | undefined,
): Promise<void> {
  const first = send(agent, options, plan, entry);
  const second = plan.repeat ? other() : undefined;
  if (second !== undefined) {
    const again = { ...plan, request: `${plan.request}.again` };
    await send(agent, options, again, second);
  }
  await first;
}

async function send(
  agent: Agent,
  options: CallerOptions,
  plan: Plan,
  entry: EntryHost,
): Promise<void> {
  const { recorder } = options;
  const id = plan.request;
  recorder.record({
    type: 'request_sent',
    request: id,
    entry: entry.id,
    idempotent: plan.method === 'GET',
    ...(plan.key === undefined ? {} : { key: plan.key }),
  });
  const end = await exchange(agent, options.host, plan, entry);
  recorder.record({ type: 'request_done', request: id, entry: entry.id, end });
}

async function exchange(
  agent: Agent,
  host: string,
  plan: Plan,
  entry: EntryHost,
): Promise<RequestEnd> {
  try {
    const res = await request(`http://${entry.router}${plan.path}`, {
      dispatcher: agent,
      method: plan.method,
      headers: {
        host,
        'x-request-id': plan.request,
        ...(plan.key === undefined ? {} : { 'idempotency-key': plan.key }),
      },
      signal: AbortSignal.timeout(GIVE_UP_MS),
      ...(plan.method === 'GET' ? {} : { body: plan.body }),
    });
    const text = await res.body.text();
    const outcome = res.headers[OUTCOME_HEADER];
    return outcome === undefined
      ? answered(plan, res.statusCode, text)
      : {
          kind: 'refused',
          status: res.statusCode,
          outcome: outcomeOf(outcome),
        };
  } catch (err) {
    return isRefusedConnection(err)
      ? { kind: 'not_connected' }
      : { kind: 'broken' };
  }
}

function answered(plan: Plan, status: number, text: string): RequestEnd {
  const { request: id, method, path, body } = plan;
  const own =
    status === FAULT_STATUS ||
    isOwn(text, { request: id, method, url: path, body });
  return { kind: 'answered', status, own };
}

/** Tells whether an echo carries everything that was sent. */
function isOwn(text: string, sent: Readonly<Record<string, string>>): boolean {
  try {
    const echo = JSON.parse(text) as Record<string, unknown>;
    return Object.entries(sent).every(([name, value]) => echo[name] === value);
  } catch {
    return false;
  }
}

function outcomeOf(header: string | string[]): 'run' | 'not_run' | 'unknown' {
  switch (header) {
    case 'run':
      return 'run';
    case 'not-run':
      return 'not_run';
    default:
      return 'unknown';
  }
}

function isRefusedConnection(err: unknown): boolean {
  return err instanceof Error && 'code' in err && err.code === 'ECONNREFUSED';
}
