/** Judges members that are silent or out of reach. */
import type { Instant } from '../core/time.js';
import type { MembershipContext } from './context.js';
import type { MemberRecord, Moment } from './roster.js';
import { isPresent } from './roster.js';
import { silentRegions } from './silence.js';

/** Intervals of silence of every peer after which this host judges nobody. */
const ISOLATED_INTERVALS = 2.5;

/** Judges members. */
export interface Judgement {
  /** Takes it that neither this host nor the peers asked reached the member in a try begun at `sentAt`. */
  unreached(record: MemberRecord, sentAt: Instant, at: Moment): void;
  /** Judges everyone; `heardAt` is when any member was last heard. */
  judge(at: Moment, heardAt: Instant): void;
}

/** Judges the members in the roster of `ctx`. */
export function createJudgement(ctx: MembershipContext): Judgement {
  const { settings, roster, news, self, plan, changes } = ctx;

  function judgeGone(record: MemberRecord, at: Moment): void {
    record.goneAt = at.running;
    record.nextCallAt = at.running + settings.intervalMs;
    changes.mark();
  }

  function suspect(record: MemberRecord, at: Moment): void {
    record.suspectedAt ??= at.running;
    news.add(record.info.id);
    changes.mark();
    if (roster.size >= settings.fullMeshLimit) {
      plan.callSoon(at.running);
    }
  }

  function unreached(record: MemberRecord, sentAt: Instant, at: Moment): void {
    if (record.info.state === 'leaving') {
      judgeGone(record, at);
      return;
    }
    if (!record.uncallable) {
      record.uncallable = true;
      changes.mark();
    }
    const heardSince = (record.heard?.real ?? -Infinity) > sentAt;
    if (record.suspectedAt === undefined && !heardSince) {
      suspect(record, at);
    }
  }

  function holdsJudgement(at: Moment, heardAt: Instant): boolean {
    const silentFor = at.running - heardAt;
    const others = [...roster.values()].filter(isPresent).length;
    return (
      others >= 2 &&
      silentFor > settings.intervalMs * ISOLATED_INTERVALS &&
      silentFor < settings.holdJudgementMs
    );
  }

  function forgetOld(record: MemberRecord, goneAt: Instant, at: Moment): void {
    if (!record.listed && at.running - goneAt > settings.forgetMs) {
      roster.delete(record.info.id);
      news.remove(record.info.id);
      changes.mark();
    }
  }

  function judgePresent(
    record: MemberRecord,
    at: Moment,
    silent: ReadonlySet<string>,
  ): void {
    if (record.suspectedAt === undefined && silent.has(record.info.region)) {
      suspect(record, at);
    }
    const since = record.suspectedAt ?? Infinity;
    if (at.running - since >= settings.suspicionMs) {
      judgeGone(record, at);
    }
  }

  function judge(at: Moment, heardAt: Instant): void {
    const hold = holdsJudgement(at, heardAt);
    const silent = silentRegions(roster, self.info().region, settings, at);
    for (const record of [...roster.values()]) {
      if (record.goneAt !== undefined) {
        forgetOld(record, record.goneAt, at);
      } else if (record.heard !== undefined && !hold) {
        judgePresent(record, at, silent);
      }
    }
  }

  return { unreached, judge };
}
