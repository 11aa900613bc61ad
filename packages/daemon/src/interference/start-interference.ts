/** Learns how batch work slows services from response times and usage reports, and acts on it every second. */
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
  createAttemptTracker,
  type AttemptTracker,
  type TrackedAttempt,
} from './attempt-tracker.js';
import { buildView, weightsOf } from './build-view.js';
import {
  createInterferenceMetrics,
  type InterferenceMetrics,
} from './metrics.js';

const TICK_MS = 1_000;

/** Attempts at least this old when first seen may still be throttled by an earlier owner. */
const NEW_ATTEMPT_AGE_MS = 10_000;

/** Share of an error budget that one more task may spend at most; the planner sees it as a penalty of 1. */
const MAX_BUDGET_SHARE = 0.05;

/** Dependencies of the interference policy. */
export interface InterferenceParts {
  readonly ctx: PartContext;
  readonly cfg: { readonly region: string; readonly availabilityZone: string };
  /** Wall clock in milliseconds, as used in the scheduler's records. */
  readonly wall: Clock;
  readonly config: ConfigView;
  readonly hosts: HostView;
}

/** The interference policy of one process. */
export interface Interference {
  /** Penalty for one more batch task on a worker: 0 for no harm, 1 for the most that is tolerated. */
  readonly penalty: PlacementPenalty;
  /** Handles a worker's usage report. */
  readonly onReport: (report: WorkerReport, at: Instant) => void;
  /** Starts acting; called once the scheduler and the router run. */
  connect(attempts: AttemptControl, latency: LatencyFeed): void;
  stop: Stop;
}

interface State {
  readonly parts: InterferenceParts;
  readonly model: ReturnType<typeof createInterferenceModel>;
  readonly memory: ReturnType<typeof createPolicyMemory>;
  readonly tracker: AttemptTracker;
  readonly metrics: InterferenceMetrics;
  /** Attempts with a throttle command in flight. */
  readonly pendingThrottles: Set<TrackedAttempt>;
  penalty: PlacementPenalty;
  readonly penalties: Map<string, number>;
}

/** Creates the policy; it learns and acts once it is connected. */
export function startInterference(parts: InterferenceParts): Interference {
  const { ctx, wall } = parts;
  const state: State = {
    parts,
    model: createInterferenceModel(),
    memory: createPolicyMemory(),
    tracker: createAttemptTracker(wall, NEW_ATTEMPT_AGE_MS),
    metrics: createInterferenceMetrics(ctx.metrics),
    pendingThrottles: new Set(),
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
      // A changed service may get a new router, which has no weights yet.
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
      handleReport(state, report, at);
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
  const found = penalty(worker, batchClass, cores) / MAX_BUDGET_SHARE;
  penalties.set(key, found);
  return found;
}

function handleReport(
  { parts, model, tracker }: State,
  report: WorkerReport,
  at: Instant,
): void {
  const { worker } = report;
  const host = parts.hosts.hosts().find(each => each.id === worker);
  if (host === undefined || host.capacity.cpu <= 0) {
    return;
  }
  const asOf = at - report.lagMs;
  tracker.recordReport(report, asOf);
  const uses = report.attempts.flatMap(attempt =>
    useOf(tracker, attempt, host.capacity.cpu),
  );
  observeUsage(model, { worker, asOf, uses }, at);
}

function useOf(tracker: AttemptTracker, attempt: AttemptReport, cores: number) {
  const job = tracker.find(attempt)?.attempt.job;
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
  const { parts, model, memory, tracker, metrics } = state;
  const now = parts.ctx.clock();
  const config = parts.config.current();
  tracker.refresh(attempts.running(), now);
  const view = buildView({
    config,
    hosts: parts.hosts.hosts(),
    region: parts.cfg.region,
    availabilityZone: parts.cfg.availabilityZone,
    tracker,
    now,
    wallNow: parts.wall(),
  });
  const weights = weightsOf(config);
  const actions = adviseActions(model, memory, view, weights, now);
  for (const action of actions) {
    applyAction(state, attempts, latency, action);
  }
  unthrottleAdopted(state, attempts);
  state.penalty = placementPenalty(model, view, weights, now);
  state.penalties.clear();
  metrics.setThrottledTasks(
    [...tracker.all()].filter(e => (e.share ?? 1) < 1).length,
  );
}

function applyAction(
  state: State,
  attempts: AttemptControl,
  latency: LatencyFeed,
  action: Action,
): void {
  const { parts, tracker, metrics } = state;
  switch (action.kind) {
    case 'steer':
      latency.steer(action.service, action.worker, action.weight);
      metrics.countAction(action, true);
      return;
    case 'throttle': {
      const entry = tracker.find(action);
      if (entry !== undefined) {
        void throttle(state, attempts, entry, action.share).then(taken => {
          metrics.countAction(action, taken);
        });
      }
      return;
    }
    case 'evict': {
      const entry = tracker.find(action);
      const taken = entry !== undefined && attempts.evict(entry.attempt);
      metrics.countAction(action, taken);
      const { task, worker, reason } = action;
      parts.ctx.log.info(
        { task, worker, reason, taken },
        'interference: evict',
      );
      return;
    }
  }
}

/** Resets once the share of attempts that an earlier owner may have throttled, so that none stays throttled. */
function unthrottleAdopted(state: State, attempts: AttemptControl): void {
  for (const entry of state.tracker.all()) {
    if (entry.share === undefined && !state.pendingThrottles.has(entry)) {
      void throttle(state, attempts, entry, 1);
    }
  }
}

async function throttle(
  { parts, tracker, pendingThrottles }: State,
  attempts: AttemptControl,
  entry: TrackedAttempt,
  share: number,
): Promise<boolean> {
  if (pendingThrottles.has(entry)) {
    return false;
  }
  pendingThrottles.add(entry);
  const taken = await attempts.throttle(entry.attempt, share);
  pendingThrottles.delete(entry);
  if (taken) {
    tracker.setShare(entry.attempt.ref, share, parts.ctx.clock());
  }
  return taken;
}
