/** Keeps every worker of a shard renewed, and acts on what its agent reports. */
import {
  type AppError,
  type Instant,
  type ShardSchedule,
  type ShardSpec,
} from '@paddlewind/domain';
import type { AttemptRef, Fence, WorkerReport } from '@paddlewind/ports';

import { scheduleOf, sleep } from '../log/timing.js';
import type { Stop } from '../parts.js';
import type { DecisionWriter } from './decision-writer.js';
import type { LeaseMode } from './lease-mode.js';
import { workerOf, workersOf } from './fleet-index.js';
import { followDecision } from './follow-decision.js';
import type { OwnerParts } from './metrics.js';
import { observeReport } from './observe.js';
import { isPlacedElsewhere, placedOn } from './placed.js';
import { lostAttempt, reconcile, type WorkerStep } from './reconcile.js';
import {
  createWorkerCommands,
  type WorkerCommands,
} from './worker-commands.js';
import {
  answered,
  attemptKey,
  isReachable,
  leasesLapseAt,
  newWorkerLink,
  type WorkerLink,
} from './worker-link.js';
import type { FoldedDecision, Zone } from './zone.js';

/** What the syncs of a shard are given. */
export interface WorkerSyncsParts {
  readonly parts: OwnerParts;
  readonly zone: Zone;
  readonly spec: ShardSpec;
  readonly epoch: number;
  readonly writer: DecisionWriter;
  readonly mode: () => LeaseMode;
  readonly offsetOf: (task: string) => number;
  /** Until when earlier owners may have renewed at workers not reached yet. */
  readonly formerUntil: () => Instant;
  readonly superseded: () => void;
}

/** The syncs with the workers of a shard. */
export interface WorkerSyncs {
  /** Begins to sync; resolves when every worker has answered, or at the deadline. */
  begin(deadline: Instant): Promise<void>;
  tick(now: Instant): void;
  onDecision(folded: FoldedDecision): void;
  link(worker: string): WorkerLink | undefined;
  links(): Iterable<WorkerLink>;
  throttle(worker: string, ref: AttemptRef, share: number): Promise<boolean>;
  stop: Stop;
}

const BEGIN_POLL_MS = 20;

/** Creates the syncs of a shard, which begin when told to. */
export function createWorkerSyncs(input: WorkerSyncsParts): WorkerSyncs {
  const links = new Map<string, WorkerLink>();
  const state = { begun: false, stopped: false };
  const commands = createCommands(input, state);

  function refreshLinks(now: Instant): void {
    const listed = workersOf(input.spec, input.parts.hosts.hosts());
    const needed = new Set(listed.map(host => host.id));
    for (const [worker, load] of scheduleOfShard(input)?.workers ?? []) {
      if (load.sizes.size > 0) {
        needed.add(worker);
      }
    }
    for (const worker of needed) {
      if (!links.has(worker)) {
        links.set(worker, newWorkerLink(worker, now));
      }
    }
    for (const worker of links.keys()) {
      if (!needed.has(worker)) {
        links.delete(worker);
      }
    }
  }

  function tick(now: Instant): void {
    if (!state.begun || state.stopped) {
      return;
    }
    refreshLinks(now);
    const mode = input.mode();
    for (const link of links.values()) {
      if (mode !== 'none' && now >= link.syncDueAt && !link.syncInFlight) {
        syncWorker(input, commands, link, mode).catch((err: unknown) => {
          const { worker } = link;
          link.syncInFlight = false;
          input.parts.ctx.log.error({ worker, err }, 'scheduler: sync failed');
        });
      }
      if (mode === 'leased') {
        loseLapsed(input, link, now);
      }
    }
  }

  async function begin(deadline: Instant): Promise<void> {
    const { ctx } = input.parts;
    refreshLinks(ctx.clock());
    adoptAttempts(input, links);
    state.begun = true;
    const silent = (): boolean =>
      [...links.values()].some(link => link.report === undefined);
    tick(ctx.clock());
    while (silent() && ctx.clock() < deadline && !state.stopped) {
      await sleep(scheduleOf(ctx), BEGIN_POLL_MS);
    }
  }

  function onDecision(folded: FoldedDecision): void {
    const schedule = scheduleOfShard(input);
    const applies = state.begun && folded.verdict.kind === 'applied';
    if (applies && schedule !== undefined) {
      const now = input.parts.ctx.clock();
      followDecision(schedule, commands, links, folded.decision, now);
    }
  }

  return {
    begin,
    tick,
    onDecision,
    link: worker => links.get(worker),
    links: () => links.values(),
    throttle: (worker, ref, share) => commands.throttle(worker, ref, share),
    stop: () => {
      state.stopped = true;
    },
  };
}

function scheduleOfShard(input: WorkerSyncsParts): ShardSchedule | undefined {
  return input.zone.state.shards.get(input.spec.name);
}

function addressOf(
  { parts }: WorkerSyncsParts,
  worker: string,
): string | undefined {
  return workerOf(worker, parts.hosts.hosts())?.address;
}

function createCommands(
  input: WorkerSyncsParts,
  state: { readonly stopped: boolean },
): WorkerCommands {
  const { parts, spec, epoch } = input;
  return createWorkerCommands({
    ctx: parts.ctx,
    agent: parts.agent,
    timing: parts.cfg.tasks,
    addressOf: worker => addressOf(input, worker),
    fenceOf: task => ({
      shard: spec.name,
      epoch,
      offset: input.offsetOf(task),
    }),
    mayCommand: () => !state.stopped && input.mode() === 'leased',
    mayThrottle: () =>
      !state.stopped && ['leased', 'renew_only'].includes(input.mode()),
    started: span => {
      parts.meters.started(span);
    },
    refused: () => undefined,
  });
}

/** Attempts decided by earlier owners: whether their starts were sent is not known. */
function adoptAttempts(
  input: WorkerSyncsParts,
  links: ReadonlyMap<string, WorkerLink>,
): void {
  const schedule = scheduleOfShard(input);
  for (const [worker, link] of links) {
    for (const { ref } of schedule ? placedOn(schedule, worker) : []) {
      const sent = { boot: undefined, confirmedAt: undefined, inFlight: false };
      link.starts.set(attemptKey(ref), sent);
    }
  }
}

async function syncWorker(
  input: WorkerSyncsParts,
  commands: WorkerCommands,
  link: WorkerLink,
  mode: LeaseMode,
): Promise<void> {
  const { parts, spec, epoch } = input;
  const { ctx, cfg, agent } = parts;
  const sentAt = ctx.clock();
  link.syncDueAt = sentAt + cfg.tasks.syncEveryMs;
  const address = addressOf(input, link.worker);
  if (address === undefined) {
    link.silentSince ??= sentAt;
    return;
  }
  const renew = attemptsToRenew(input, link, mode, sentAt);
  if (renew.length > 0) {
    link.renewSentAt = sentAt;
  }
  const acknowledge = [...link.acknowledge.values()];
  const offset = input.zone.state.position?.offset ?? 0;
  const fence: Fence = { shard: spec.name, epoch, offset };
  link.syncInFlight = true;
  const { leaseMs } = cfg.tasks;
  const req = { fence, renew, leaseMs, acknowledge };
  const result = await agent.sync(address, req);
  link.syncInFlight = false;
  if (result.isErr) {
    syncFailed(input, link, result.error, sentAt);
    return;
  }
  parts.meters.synced('answered');
  acknowledge.forEach(ref => link.acknowledge.delete(attemptKey(ref)));
  answered(link, result.value, sentAt);
  parts.onReport?.(result.value, ctx.clock());
  if (input.mode() === 'leased') {
    settleReport(input, commands, link, result.value, sentAt);
  }
}

function syncFailed(
  input: WorkerSyncsParts,
  link: WorkerLink,
  err: AppError,
  sentAt: Instant,
): void {
  const { worker } = link;
  if (err.kind === 'conflict') {
    input.parts.ctx.log.warn({ worker }, 'scheduler: epoch refused');
    input.superseded();
    input.parts.meters.synced('refused');
    return;
  }
  input.parts.meters.synced('unanswered');
  link.silentSince ??= sentAt;
}

/** Returns the attempts to renew: none at a silent worker, so that its leases lapse. */
function attemptsToRenew(
  input: WorkerSyncsParts,
  link: WorkerLink,
  mode: LeaseMode,
  now: Instant,
): AttemptRef[] {
  const schedule = scheduleOfShard(input);
  const renews = mode === 'leased' || mode === 'renew_only';
  const reachable = isReachable(link, input.parts.cfg.tasks, now);
  if (schedule === undefined || !renews || !reachable) {
    return [];
  }
  return placedOn(schedule, link.worker)
    .map(placed => placed.ref)
    .filter(ref => !input.writer.isPending(lostAttempt(by(input), ref).id));
}

function by(input: WorkerSyncsParts) {
  const { spec, epoch, parts } = input;
  return { shard: spec.name, epoch, wall: parts.wall() };
}

function settleReport(
  input: WorkerSyncsParts,
  commands: WorkerCommands,
  link: WorkerLink,
  report: WorkerReport,
  sentAt: Instant,
): void {
  const schedule = scheduleOfShard(input);
  if (schedule === undefined) {
    return;
  }
  const { ctx, cfg } = input.parts;
  confirmReported(link, report, ctx.clock());
  observeReport(schedule, report, input.parts.wall());
  const placed = placedOn(schedule, link.worker);
  const steps = reconcile({
    ...by(input),
    placed,
    report,
    sentAt,
    starts: link.starts,
    isElsewhere: ref =>
      isPlacedElsewhere(input.zone.state, input.spec.name, link.worker, ref),
  });
  steps.forEach(step => {
    perform(input, commands, link, step);
  });
  if (placed.some(each => each.evicting !== undefined)) {
    link.syncDueAt = ctx.clock() + cfg.tasks.urgentSyncMs;
  }
}

function confirmReported(
  link: WorkerLink,
  report: WorkerReport,
  now: Instant,
): void {
  for (const attempt of report.attempts) {
    const sent = link.starts.get(attemptKey(attempt));
    if (sent !== undefined) {
      sent.confirmedAt ??= now;
      if (attempt.state === 'running' || attempt.state === 'stopping') {
        sent.seenBoot = report.boot;
      }
    }
  }
}

function perform(
  { writer }: WorkerSyncsParts,
  commands: WorkerCommands,
  link: WorkerLink,
  step: WorkerStep,
): void {
  switch (step.kind) {
    case 'start':
      void commands.start(link, step.placed);
      return;
    case 'stop':
      void commands.stop(link, step.ref, step.checkpoint);
      return;
    case 'end':
      writer.write(step.decision);
      return;
    case 'acknowledge':
      link.acknowledge.set(attemptKey(step.ref), step.ref);
      return;
  }
}

/** Ends the attempts of a worker that has been silent until its leases lapsed. */
function loseLapsed(
  input: WorkerSyncsParts,
  link: WorkerLink,
  now: Instant,
): void {
  const { tasks } = input.parts.cfg;
  const silent = !isReachable(link, tasks, now);
  const schedule = scheduleOfShard(input);
  if (!silent || schedule === undefined) {
    return;
  }
  if (now < leasesLapseAt(link, tasks, input.formerUntil())) {
    return;
  }
  for (const { ref } of placedOn(schedule, link.worker)) {
    input.writer.write(lostAttempt(by(input), ref));
  }
}
