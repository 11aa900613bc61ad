/**
 * The membership of entry hosts as one host sees it: a state machine driven by events.
 * docs/design/membership.md gives the reasons.
 */
import type { Instant, Millis, Random } from '../core/time.js';
import { createCallPlan } from './call-plan.js';
import { createChangeCounter, type MembershipContext } from './context.js';
import { createIntake } from './intake.js';
import { createJudgement } from './judgement.js';
import { createNewsQueue } from './news.js';
import { createOutcomes } from './outcomes.js';
import { createPauseClock } from './pause-clock.js';
import type { Moment, Roster } from './roster.js';
import { isPresent, viewOf } from './roster.js';
import { createSelf, type SelfState } from './self.js';
import type { MembershipSettings } from './settings.js';
import { createTelling } from './telling.js';
import type {
  HeartbeatMessage,
  MemberAddress,
  MemberInfo,
  MembershipAction,
  MemberView,
} from './types.js';

/** What a membership starts from. */
export interface MembershipOptions {
  readonly self: MemberAddress;
  readonly incarnation: string;
  readonly settings: MembershipSettings;
  readonly random: Random;
  readonly now: Instant;
}

/** The membership as one host sees it; `now` is on the real monotonic clock. */
export interface Membership {
  /** Takes the host's own state; a change is told at once. */
  setSelf(state: SelfState, now: Instant): void;
  /** Takes the entry hosts of the host list. */
  setListed(hosts: readonly MemberAddress[], now: Instant): void;
  /** Advances time, judges silent members and returns the calls to make; call every fifth of an interval. */
  tick(now: Instant): MembershipAction[];
  /** Returns the message for a heartbeat or reply to a member of `region`. */
  message(to: string, region: string): HeartbeatMessage;
  /** Takes a heartbeat that arrived. */
  onHeartbeat(message: HeartbeatMessage, now: Instant): void;
  /** Takes the reply to a heartbeat that was sent to `target` at `sentAt`. */
  onReply(target: string, reply: HeartbeatMessage, now: Instant): void;
  /** Takes the failure of a heartbeat and returns the probes to ask of peers. */
  onFailure(target: string, sentAt: Instant, now: Instant): MembershipAction[];
  /** Takes the answer to a probe; `member` is what the target told of itself when it was reached. */
  onProbe(
    target: string,
    member: MemberInfo | undefined,
    sentAt: Instant,
    now: Instant,
  ): void;
  /** Own information as told to others. */
  self(): MemberInfo;
  /** Members that are present, without this host, in order of id. */
  members(): MemberView[];
  /** Counts changes of what `members` returns, heartbeats that only confirm aside. */
  version(): number;
  /** Whether peers are known and none has answered a call for the cut-off time. */
  cutOff(now: Instant): boolean;
}

function presentMembers(roster: Roster): MemberView[] {
  return [...roster.values()]
    .map(viewOf)
    .filter(view => view !== undefined)
    .sort((a, b) => (a.id < b.id ? -1 : 1));
}

function isCutOff(roster: Roster, silentFor: Millis, limit: Millis): boolean {
  const others = [...roster.values()].some(
    record => record.listed || isPresent(record),
  );
  return others && silentFor > limit;
}

function createContext(options: MembershipOptions): MembershipContext {
  const { settings, random } = options;
  const roster: Roster = new Map();
  const plan = createCallPlan(options.self, settings, random, roster);
  return {
    settings,
    random,
    roster,
    plan,
    news: createNewsQueue(() => roster.size),
    self: createSelf(options.self, options.incarnation),
    changes: createChangeCounter(() => {
      plan.membersChanged();
    }),
  };
}

/** Starts a membership that knows only itself. */
export function createMembership(options: MembershipOptions): Membership {
  const { settings } = options;
  const ctx = createContext(options);
  const { roster, self, plan } = ctx;
  const clock = createPauseClock(options.now, settings.pauseMs);
  const moment = (now: Instant): Moment => ({
    real: now,
    running: clock.advance(now),
  });
  const start = moment(options.now);
  const intake = createIntake(ctx, start);
  const judgement = createJudgement(ctx);
  const outcomes = createOutcomes(ctx, intake, judgement, start);
  const telling = createTelling(ctx);
  const pausedSince = (sentAt: Instant): boolean =>
    clock.lastPauseAt() >= sentAt;

  return {
    setSelf(state, now) {
      if (self.set(state)) {
        plan.callSoon(moment(now).running);
      }
    },
    setListed(hosts, now) {
      intake.setListed(hosts, moment(now));
    },
    tick(now) {
      const at = moment(now);
      self.beat(at.running, settings.intervalMs);
      judgement.judge(at, intake.heardAt());
      return plan.due(at.running);
    },
    message: (to, region) => telling.message(to, region),
    onHeartbeat(message, now) {
      intake.onMessage(message, moment(now));
    },
    onReply(target, reply, now) {
      outcomes.onReply(target, reply, moment(now));
    },
    onFailure(target, sentAt, now) {
      const at = moment(now);
      if (pausedSince(sentAt)) {
        plan.callAgain(target, at.running);
        return [];
      }
      return outcomes.onFailure(target, sentAt, at);
    },
    onProbe(target, member, sentAt, now) {
      const at = moment(now);
      const paused = pausedSince(sentAt);
      outcomes.onProbe({ target, member, sentAt, paused }, at);
    },
    self: () => self.info(),
    members: () => presentMembers(roster),
    version: () => ctx.changes.count(),
    cutOff(now) {
      const silentFor = moment(now).running - outcomes.answeredAt();
      return isCutOff(roster, silentFor, settings.cutOffMs);
    },
  };
}
