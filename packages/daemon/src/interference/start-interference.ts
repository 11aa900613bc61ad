/** Learns interference from response times and usage reports, and acts on it every second. */
import {
  adviseActions,
  batchClassOf,
  createInterferenceModel,
  createPolicyMemory,
  observeLatency,
  observeUsage,
  placementPenalty,
  steeredWeights,
  type Action,
  type Clock,
  type Instant,
  type PlacementPenalty,
} from '@paddlewind/domain';
import type { AttemptReport, WorkerReport } from '@paddlewind/ports';

import { scheduleOf } from '../log/timing.js';
import type {
  ConfigView,
  HostView,
  LatencyFeed,
  PartContext,
  Stop,
} from '../parts.js';
import type { AttemptControl } from '../scheduler/index.js';
import {
  createAttemptBook,
  type AttemptBook,
  type BookedAttempt,
} from './attempt-book.js';
import { buildView, weightsOf } from './build-view.js';
import {
  createInterferenceMetrics,
  type InterferenceMetrics,
} from './metrics.js';

const TICK_MS = 1_000;

/** Attempts that began longer ago when first seen may still be throttled by an earlier owner. */
const FRESH_MS = 10_000;

/** Part of an error budget that one more task may spend at the worst, as the planner's 1. */
const WORST_TOLERATED = 0.05;

/** What the policy is given. */
export interface InterferenceParts {
  readonly ctx: PartContext;
  readonly cfg: { readonly region: string; readonly availabilityZone: string };
  /** Wall-clock milliseconds, as in the scheduler's records. */
  readonly wall: Clock;
  readonly config: ConfigView;
  readonly hosts: HostView;
}

/** The policy against interference of one process. */
export interface Interference {
  /** Harm of one more batch task on a worker: 0 for none, 1 for the worst tolerated. */
  readonly penalty: PlacementPenalty;
  /** Takes a worker's report of use. */
  readonly onReport: (report: WorkerReport, at: Instant) => void;
  /** Begins to act, once the scheduler and the router run. */
  connect(attempts: AttemptControl, latency: LatencyFeed): void;
  stop: Stop;
}

interface State {
  readonly parts: InterferenceParts;
  readonly model: ReturnType<typeof createInterferenceModel>;
  readonly memory: ReturnType<typeof createPolicyMemory>;
  readonly book: AttemptBook;
  readonly metrics: InterferenceMetrics;
  /** Attempts with a command under way. */
  readonly commanded: Set<BookedAttempt>;
  penalty: PlacementPenalty;
  readonly penalties: Map<string, number>;
}

/** Starts the policy; it learns and acts once it is connected. */
export function startInterference(parts: InterferenceParts): Interference {
  const { ctx, wall } = parts;
  const state: State = {
    parts,
    model: createInterferenceModel(),
    memory: createPolicyMemory(),
    book: createAttemptBook(wall, FRESH_MS),
    metrics: createInterferenceMetrics(ctx.metrics),
    commanded: new Set(),
    penalty: () => 0,
    penalties: new Map(),
  };
  const stops: Stop[] = [];

  function connect(attempts: AttemptControl, latency: LatencyFeed): void {
    const schedule = scheduleOf(ctx);
    let cancel = schedule(TICK_MS, run);
    function run(): void {
      cancel = schedule(TICK_MS, run);
      tick(state, attempts, latency);
    }
    stops.push(
      () => {
        cancel();
      },
      // A changed service may get a new router, which knows no weights.
      parts.config.onChange(() => {
        for (const steered of steeredWeights(state.memory)) {
          latency.steer(steered.service, steered.worker, steered.weight);
        }
      }),
      latency.onSample(sample => {
        observeLatency(state.model, sample);
      }),
    );
  }

  return {
    penalty: (worker, batchClass, cores) =>
      penaltyOf(state, worker, batchClass, cores),
    onReport: (report, at) => {
      takeReport(state, report, at);
    },
    connect,
    stop: () => {
      stops.forEach(stop => {
        stop();
      });
    },
  };
}

function penaltyOf(
  { penalty, penalties }: State,
  worker: string,
  batchClass: string,
  cores: number,
): number {
  const key = `${worker} ${batchClass} ${cores}`;
  const known = penalties.get(key);
  if (known !== undefined) {
    return known;
  }
  const found = penalty(worker, batchClass, cores) / WORST_TOLERATED;
  penalties.set(key, found);
  return found;
}

function takeReport(
  { parts, model, book }: State,
  report: WorkerReport,
  at: Instant,
): void {
  const { worker } = report;
  const host = parts.hosts.hosts().find(each => each.id === worker);
  if (host === undefined || host.capacity.cpu <= 0) {
    return;
  }
  const asOf = at - report.lagMs;
  book.takeReport(report, asOf);
  const uses = report.attempts.flatMap(attempt =>
    useOf(book, attempt, host.capacity.cpu),
  );
  observeUsage(model, { worker, asOf, uses }, at);
}

function useOf(book: AttemptBook, attempt: AttemptReport, cores: number) {
  const job = book.find(attempt)?.attempt.job;
  if (job === undefined || attempt.state !== 'running') {
    return [];
  }
  const batchClass = batchClassOf(job.team, job.labels);
  return [{ batchClass, share: attempt.usage.cpu / cores }];
}

function tick(
  state: State,
  attempts: AttemptControl,
  latency: LatencyFeed,
): void {
  const { parts, model, memory, book, metrics } = state;
  const now = parts.ctx.clock();
  const config = parts.config.current();
  book.refresh(attempts.running(), now);
  const view = buildView({
    config,
    hosts: parts.hosts.hosts(),
    region: parts.cfg.region,
    availabilityZone: parts.cfg.availabilityZone,
    book,
    now,
    wallNow: parts.wall(),
  });
  const weights = weightsOf(config);
  const actions = adviseActions(model, memory, view, weights, now);
  for (const action of actions) {
    carryOut(state, attempts, latency, action);
  }
  releaseAdopted(state, attempts);
  state.penalty = placementPenalty(model, view, weights, now);
  state.penalties.clear();
  metrics.throttled([...book.all()].filter(e => (e.share ?? 1) < 1).length);
}

function carryOut(
  state: State,
  attempts: AttemptControl,
  latency: LatencyFeed,
  action: Action,
): void {
  const { parts, book, metrics } = state;
  switch (action.kind) {
    case 'steer':
      latency.steer(action.service, action.worker, action.weight);
      metrics.acted(action, true);
      return;
    case 'throttle': {
      const entry = book.find(action);
      if (entry !== undefined) {
        void throttle(state, attempts, entry, action.share).then(taken => {
          metrics.acted(action, taken);
        });
      }
      return;
    }
    case 'evict': {
      const entry = book.find(action);
      const taken = entry !== undefined && attempts.evict(entry.attempt);
      metrics.acted(action, taken);
      const { task, worker, reason } = action;
      parts.ctx.log.info(
        { task, worker, reason, taken },
        'interference: evict',
      );
      return;
    }
  }
}

/** Attempts that an earlier owner may have throttled are released once, so that none is forgotten. */
function releaseAdopted(state: State, attempts: AttemptControl): void {
  for (const entry of state.book.all()) {
    if (entry.share === undefined && !state.commanded.has(entry)) {
      void throttle(state, attempts, entry, 1);
    }
  }
}

async function throttle(
  { parts, book, commanded }: State,
  attempts: AttemptControl,
  entry: BookedAttempt,
  share: number,
): Promise<boolean> {
  if (commanded.has(entry)) {
    return false;
  }
  commanded.add(entry);
  const taken = await attempts.throttle(entry.attempt, share);
  commanded.delete(entry);
  if (taken) {
    book.setShare(entry.attempt.ref, share, parts.ctx.clock());
  }
  return taken;
}
