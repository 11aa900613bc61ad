/** An event-driven queue model of entry hosts and backend servers, at the interface of the dispatcher. */
import type {
  AppError,
  Dispatch,
  Dispatcher,
  Instant,
  TryResult,
} from '@paddlewind/domain';
import { build, type Histogram } from 'hdr-histogram-js';

import { createEventLoop, type EventLoop } from './event-loop.js';
import {
  createModelServer,
  type ModelServer,
  type ModelTry,
} from './model-server.js';
import { DEADLINE_MS, type ModelRequest, type Workload } from './workload.js';

/** What an entry host of the model is driven by. */
export type ModelRouter = Pick<Dispatcher, 'offer' | 'finish'> &
  Partial<Pick<Dispatcher, 'retry' | 'hedge' | 'tick'>> &
  Partial<LoadSharing>;

/** What a policy does that shares loads in heartbeats; the product's does not. */
export interface LoadSharing {
  /** Own requests in flight by backend server. */
  loads(): readonly BackendInFlight[];
  /** Takes the loads that a peer told. */
  peerLoads(peer: string, loads: readonly BackendInFlight[]): void;
}

/** Requests in flight at one backend server. */
export interface BackendInFlight {
  readonly backend: string;
  readonly inFlight: number;
}

/** What a policy may know of the model. */
export interface ModelView {
  readonly workload: Workload;
  now(): Instant;
  /** Calls `action` after `delayMs`. */
  after(delayMs: number, action: () => void): void;
}

/** Creates the routers of all entry hosts. */
export type PolicyFactory = (view: ModelView, seed: number) => ModelRouter[];

/** What callers do when a request is refused or fails. */
export interface CallerBehaviour {
  /** Times that a caller asks in all, by any entry host, within the one deadline. */
  readonly attempts: number;
  /** Whether a caller waits as long as it was told. */
  readonly heedsRetryAfter: boolean;
}

const ONE_ATTEMPT: CallerBehaviour = { attempts: 1, heedsRetryAfter: true };

/** Wait of a caller that was told nothing or does not heed it, in milliseconds. */
const IMPATIENT_MS = 10;

/** Time after which an entry host asks for a second copy, in milliseconds; about p97. */
const HEDGE_DELAY_MS = 100;

/** Ids of repeated requests follow those of first ones. */
const REPEATED_ID_STEP = 1_000_000_000;

/** Counts of one run after the warm-up. */
export interface ModelResult {
  /** Response times of good answers, in microseconds. */
  readonly latencyUs: Histogram;
  /** Response times beyond the time that an undisturbed server takes, in microseconds. */
  readonly addedUs: Histogram;
  offered: number;
  good: number;
  /** Refused without a try. */
  refused: number;
  /** Failed, timed out, or refused after a try. */
  failed: number;
  /** Good answers that ended, whenever they began. */
  ended: number;
  /** Tries that were sent. */
  tries: number;
  /** Most tries at one server at a time, over all entry hosts. */
  maxConnections: number;
}

const TICK_MS = 10;
const HEARTBEAT_MS = 1_000;
const HEARTBEAT_DELAY_MS = 1;

/** Address of a server in the model. */
export function serverAddress(server: number): string {
  return `10.1.${Math.floor(server / 250)}.${(server % 250) + 1}:80`;
}

interface Run {
  readonly loop: EventLoop;
  readonly workload: Workload;
  readonly servers: readonly ModelServer[];
  readonly serverByAddress: ReadonlyMap<string, number>;
  readonly routers: readonly ModelRouter[];
  readonly result: ModelResult;
  readonly warmUpMs: number;
  readonly callers: CallerBehaviour;
  readonly open: Map<number, ModelRequest>;
  readonly connections: number[];
  /** Ends the running tries of a request, by its id. */
  readonly running: Map<number, Set<EndTry>>;
}

type EndTry = (result: TryResult) => void;

/** Runs one policy on one workload; requests that arrive in the first `warmUpMs` are not counted. */
export function runModel(
  workload: Workload,
  createPolicy: PolicyFactory,
  seed: number,
  warmUpMs: number,
  callers: CallerBehaviour = ONE_ATTEMPT,
): ModelResult {
  const run = createRun(workload, createPolicy, seed, warmUpMs, callers);
  scheduleArrival(run);
  scheduleTicks(run);
  scheduleHeartbeats(run);
  run.loop.runUntil(workload.endsAt + DEADLINE_MS + 1);
  return run.result;
}

function createRun(
  workload: Workload,
  createPolicy: PolicyFactory,
  seed: number,
  warmUpMs: number,
  callers: CallerBehaviour,
): Run {
  const loop = createEventLoop();
  const { size } = workload;
  const indexes = Array.from({ length: size.servers }, (_, index) => index);
  const view: ModelView = {
    workload,
    now: () => loop.now(),
    after: (delayMs, action) => {
      loop.at(loop.now() + delayMs, action);
    },
  };
  return {
    loop,
    workload,
    servers: indexes.map(index =>
      createModelServer(loop, {
        slots: size.slots,
        maxWaiting: size.maxWaiting,
        modeAt: at => workload.modeOf(index, at),
      }),
    ),
    serverByAddress: new Map(
      indexes.map(index => [serverAddress(index), index]),
    ),
    routers: createPolicy(view, seed),
    result: emptyResult(),
    warmUpMs,
    callers,
    open: new Map(),
    connections: indexes.map(() => 0),
    running: new Map(),
  };
}

function emptyResult(): ModelResult {
  return {
    latencyUs: build({ highestTrackableValue: 60_000_000 }),
    addedUs: build({ highestTrackableValue: 60_000_000 }),
    offered: 0,
    good: 0,
    refused: 0,
    failed: 0,
    ended: 0,
    tries: 0,
    maxConnections: 0,
  };
}

function scheduleArrival(run: Run): void {
  const req = run.workload.next();
  run.loop.at(req.arrivesAt, () => {
    scheduleArrival(run);
    if (isCounted(run, req)) {
      run.result.offered += 1;
    }
    offer(run, req);
  });
}

function offer(run: Run, req: ModelRequest): void {
  run.open.set(req.id, req);
  apply(run, req.host, routerOf(run, req.host).offer(req, run.loop.now()));
}

function scheduleTicks(run: Run): void {
  run.loop.at(run.loop.now() + TICK_MS, () => {
    run.routers.forEach((router, host) => {
      apply(run, host, router.tick?.(run.loop.now()) ?? []);
    });
    scheduleTicks(run);
  });
}

/** Every entry host tells its load to every other, each at its own phase. */
function scheduleHeartbeats(run: Run): void {
  run.routers.forEach((_router, host) => {
    const phaseMs = (HEARTBEAT_MS * host) / run.routers.length;
    run.loop.at(phaseMs, () => {
      beat(run, host);
    });
  });
}

function beat(run: Run, host: number): void {
  const loads = routerOf(run, host).loads?.() ?? [];
  run.loop.at(run.loop.now() + HEARTBEAT_DELAY_MS, () => {
    run.routers.forEach((router, other) => {
      if (other !== host) {
        router.peerLoads?.(`e${host}`, loads);
      }
    });
  });
  run.loop.at(run.loop.now() + HEARTBEAT_MS, () => {
    beat(run, host);
  });
}

function routerOf(run: Run, host: number): ModelRouter {
  const router = run.routers[host];
  if (router === undefined) {
    throw new Error(`no entry host ${host}`);
  }
  return router;
}

function isCounted(run: Run, req: ModelRequest): boolean {
  return isInWindow(run, req.arrivesAt);
}

function isInWindow(run: Run, at: Instant): boolean {
  return at >= run.warmUpMs && at < run.workload.endsAt;
}

function apply(run: Run, host: number, verdicts: readonly Dispatch[]): void {
  for (const verdict of verdicts) {
    switch (verdict.kind) {
      case 'send':
        send(run, host, verdict.id, verdict.backend);
        break;
      case 'queued':
        break;
      case 'refused':
        refuse(run, verdict.id, verdict.error);
        break;
    }
  }
}

function refuse(run: Run, id: number, error?: AppError): void {
  const req = run.open.get(id);
  run.open.delete(id);
  if (req === undefined || askAgain(run, req, error) || !isCounted(run, req)) {
    return;
  }
  run.result[error?.outcome === 'not_run' ? 'refused' : 'failed'] += 1;
}

/** Lets the caller ask again, by another entry host; false when it gives up. */
function askAgain(run: Run, req: ModelRequest, error?: AppError): boolean {
  const { attempts, heedsRetryAfter } = run.callers;
  const toldMs = heedsRetryAfter ? error?.retryAfterMs : undefined;
  const at = run.loop.now() + (toldMs ?? IMPATIENT_MS);
  const isSafe = req.idempotent || error?.outcome === 'not_run';
  if (!isSafe || req.attempt + 1 >= attempts || at >= req.deadline) {
    return false;
  }
  const again: ModelRequest = {
    ...req,
    id: req.id + REPEATED_ID_STEP,
    host: (req.host + 1) % run.routers.length,
    attempt: req.attempt + 1,
  };
  run.loop.at(at, () => {
    offer(run, again);
  });
  return true;
}

function send(run: Run, host: number, id: number, address: string): void {
  const req = run.open.get(id);
  const index = run.serverByAddress.get(address);
  const server = run.servers[index ?? -1];
  if (req === undefined || index === undefined || server === undefined) {
    throw new Error(`bad dispatch of ${id} to ${address}`);
  }
  connect(run, index);
  const ends = run.running.get(id) ?? new Set();
  run.running.set(id, ends);
  const end = (result: TryResult): void => {
    if (ends.delete(end)) {
      entry.canceled = true;
      run.connections[index] = (run.connections[index] ?? 0) - 1;
      finishTry(run, host, req, address, result);
    }
  };
  const delayMs = run.workload.delayMs(host, index);
  const entry: ModelTry = {
    req,
    canceled: false,
    answer: result => {
      run.loop.at(run.loop.now() + delayMs, () => {
        end(result);
      });
    },
  };
  ends.add(end);
  scheduleHedge(run, host, req, ends);
  run.loop.at(run.loop.now() + delayMs, () => {
    server.receive(entry);
  });
  run.loop.at(req.deadline, () => {
    end({ kind: 'timeout' });
  });
}

/** Asks for a second copy when the only try has taken long. */
function scheduleHedge(
  run: Run,
  host: number,
  req: ModelRequest,
  ends: ReadonlySet<EndTry>,
): void {
  const router = routerOf(run, host);
  if (router.hedge === undefined || ends.size > 1) {
    return;
  }
  run.loop.at(run.loop.now() + HEDGE_DELAY_MS, () => {
    const isRunning = run.open.has(req.id) && ends.size === 1;
    const verdict = isRunning ? router.hedge?.(req, run.loop.now()) : undefined;
    apply(run, host, verdict === undefined ? [] : [verdict]);
  });
}

function connect(run: Run, index: number): void {
  const connections = (run.connections[index] ?? 0) + 1;
  run.connections[index] = connections;
  run.result.tries += isInWindow(run, run.loop.now()) ? 1 : 0;
  run.result.maxConnections = Math.max(run.result.maxConnections, connections);
}

function finishTry(
  run: Run,
  host: number,
  req: ModelRequest,
  address: string,
  result: TryResult,
): void {
  const now = run.loop.now();
  const router = routerOf(run, host);
  const good = result.kind === 'answered' && result.status < 500;
  const released = router.finish(req.id, address, result, now);
  const others = [...(run.running.get(req.id) ?? [])];
  if (others.length === 0) {
    run.running.delete(req.id);
  }
  if (good) {
    settleGood(run, req, now);
    others.forEach(end => {
      end({ kind: 'canceled' });
    });
  } else if (others.length === 0 && run.open.has(req.id)) {
    retryOrFail(run, host, req, result, now);
  }
  apply(run, host, released);
}

function settleGood(run: Run, req: ModelRequest, now: Instant): void {
  run.open.delete(req.id);
  if (isInWindow(run, now)) {
    run.result.ended += 1;
  }
  if (isCounted(run, req)) {
    run.result.good += 1;
    const latencyMs = now - req.arrivesAt;
    const addedMs = Math.max(0, latencyMs - req.workMs);
    run.result.latencyUs.recordValue(Math.round(latencyMs * 1_000));
    run.result.addedUs.recordValue(Math.round(addedMs * 1_000));
  }
}

function retryOrFail(
  run: Run,
  host: number,
  req: ModelRequest,
  result: TryResult,
  now: Instant,
): void {
  const router = routerOf(run, host);
  if (router.retry === undefined || now >= req.deadline) {
    refuse(run, req.id);
    return;
  }
  apply(run, host, router.retry(req, result, now));
}
