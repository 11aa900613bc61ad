/** Takes the outcomes of calls: replies, failures and probes. */
import type { Instant, Random } from '../core/time.js';
import type { MembershipContext } from './context.js';
import type { Intake } from './intake.js';
import type { Judgement } from './judgement.js';
import type { MemberRecord, Moment } from './roster.js';
import { isHealthy, isPresent, markHeard } from './roster.js';
import type {
  HeartbeatMessage,
  MemberInfo,
  MembershipAction,
} from './types.js';

/** How a probe by a peer ended. */
export interface ProbeOutcome {
  readonly target: string;
  /** What the target told of itself when it was reached. */
  readonly member: MemberInfo | undefined;
  readonly sentAt: Instant;
  /** Whether a failure says nothing, since this host paused meanwhile. */
  readonly paused: boolean;
}

/** Takes outcomes of calls. */
export interface Outcomes {
  onReply(target: string, reply: HeartbeatMessage, at: Moment): void;
  /** Takes a failed heartbeat; returns the probes to ask of peers. */
  onFailure(target: string, sentAt: Instant, at: Moment): MembershipAction[];
  onProbe(outcome: ProbeOutcome, at: Moment): void;
  /** Running instant of the last answer to an own call. */
  answeredAt(): Instant;
}

function pick<T>(from: readonly T[], count: number, random: Random): T[] {
  const left = [...from];
  const picked: T[] = [];
  while (picked.length < count && left.length > 0) {
    picked.push(...left.splice(Math.floor(random() * left.length), 1));
  }
  return picked;
}

function chooseProbes(
  ctx: MembershipContext,
  record: MemberRecord,
): MembershipAction[] {
  const others = [...ctx.roster.values()].filter(
    other => other !== record && isHealthy(other),
  );
  const helpers = pick(others, ctx.settings.indirectProbes, ctx.random);
  return helpers.map(helper => ({
    kind: 'probe',
    via: helper.info,
    target: record.info,
  }));
}

function setCallable(ctx: MembershipContext, record: MemberRecord): void {
  record.pendingProbes = 0;
  if (record.uncallable) {
    record.uncallable = false;
    ctx.changes.mark();
  }
}

function endVerifying(ctx: MembershipContext, record: MemberRecord): void {
  if (record.verifying) {
    record.verifying = false;
    ctx.news.add(record.info.id);
  }
}

/** Takes outcomes into the roster of `ctx`. */
export function createOutcomes(
  ctx: MembershipContext,
  intake: Intake,
  judgement: Judgement,
  start: Moment,
): Outcomes {
  const { roster, plan } = ctx;
  let answeredAt = start.running;

  function onReply(target: string, reply: HeartbeatMessage, at: Moment): void {
    answeredAt = at.running;
    plan.ended(target);
    intake.onMessage(reply, at);
    const record = roster.get(target);
    if (record === undefined) {
      return;
    }
    if (reply.sender.id === target) {
      setCallable(ctx, record);
      endVerifying(ctx, record);
    } else if (isPresent(record)) {
      judgement.unreached(record, at.real, at);
    }
  }

  function onFailure(
    target: string,
    sentAt: Instant,
    at: Moment,
  ): MembershipAction[] {
    plan.ended(target);
    const record = roster.get(target);
    if (record === undefined || !isPresent(record)) {
      return [];
    }
    record.verifying = false;
    const probes = chooseProbes(ctx, record);
    record.pendingProbes = probes.length;
    if (probes.length === 0) {
      judgement.unreached(record, sentAt, at);
    }
    return probes;
  }

  function onUnreached(
    record: MemberRecord,
    outcome: ProbeOutcome,
    at: Moment,
  ): void {
    if (record.pendingProbes === 0) {
      return;
    }
    record.pendingProbes -= 1;
    if (record.pendingProbes === 0 && !outcome.paused) {
      judgement.unreached(record, outcome.sentAt, at);
    }
  }

  function onProbe(outcome: ProbeOutcome, at: Moment): void {
    const record = roster.get(outcome.target);
    if (record === undefined) {
      return;
    }
    if (outcome.member?.id !== outcome.target) {
      onUnreached(record, outcome, at);
      return;
    }
    intake.take(outcome.member, at, false);
    markHeard(record, at);
    setCallable(ctx, record);
  }

  return { onReply, onFailure, onProbe, answeredAt: () => answeredAt };
}
