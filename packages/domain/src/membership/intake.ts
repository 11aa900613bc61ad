/** Takes what members and the host list tell into the roster. */
import type { Instant } from '../core/time.js';
import type { MembershipContext } from './context.js';
import type { MemberRecord, MergeVerdict, Moment } from './roster.js';
import { mergeInfo, unheardRecord } from './roster.js';
import type { HeartbeatMessage, MemberAddress, MemberInfo } from './types.js';

/** Intervals without news after which a suspicion told by others is taken over. */
const GRACE_INTERVALS = 1.5;

/** Takes information. */
export interface Intake {
  setListed(hosts: readonly MemberAddress[], at: Moment): void;
  onMessage(message: HeartbeatMessage, at: Moment): void;
  /** Takes what is told of one member; `direct` when by itself. */
  take(info: MemberInfo, at: Moment, direct: boolean): void;
  /** Running instant of the last message of any member. */
  heardAt(): Instant;
}

/** Takes information into the roster of `ctx`. */
export function createIntake(ctx: MembershipContext, start: Moment): Intake {
  const { settings, roster, news, self, plan, changes } = ctx;
  const graceMs = settings.intervalMs * GRACE_INTERVALS;
  let heardAt = start.running;

  function recordOf(address: MemberAddress, at: Moment): MemberRecord {
    const known = roster.get(address.id);
    if (known !== undefined) {
      return known;
    }
    const record = unheardRecord(address, plan.firstCallAt(at.running));
    roster.set(address.id, record);
    changes.mark();
    return record;
  }

  function take(info: MemberInfo, at: Moment, direct: boolean): void {
    if (info.id === self.info().id) {
      if (self.hear(info)) {
        news.add(info.id);
      }
      return;
    }
    if (info.state === 'suspected' && !roster.has(info.id)) {
      return;
    }
    const record = recordOf(info, at);
    const verdict = mergeInfo(record, info, at, direct, graceMs);
    actOn(verdict, record, at);
  }

  function actOn(verdict: MergeVerdict, record: MemberRecord, at: Moment) {
    switch (verdict) {
      case 'news':
        changes.mark();
        news.add(record.info.id);
        hasten(record, at);
        return;
      case 'contradicted':
        news.add(record.info.id);
        return;
      case 'doubtful':
        record.verifying = true;
        record.nextCallAt = at.running;
        return;
      case 'confirmed':
      case 'ignored':
    }
  }

  /** Where not everyone hears everyone, news of a member that goes is passed on at once. */
  function hasten(record: MemberRecord, at: Moment): void {
    const going =
      record.suspectedAt !== undefined || record.info.state === 'leaving';
    if (going && roster.size >= settings.fullMeshLimit) {
      plan.callSoon(at.running);
    }
  }

  function onMessage(message: HeartbeatMessage, at: Moment): void {
    heardAt = at.running;
    take(message.sender, at, true);
    for (const info of message.members) {
      if (info.id !== message.sender.id) {
        take(info, at, false);
      }
    }
  }

  function setListed(hosts: readonly MemberAddress[], at: Moment): void {
    const others = hosts.filter(host => host.id !== self.info().id);
    const listed = new Set(others.map(host => host.id));
    others.forEach(host => recordOf(host, at));
    for (const [id, record] of roster) {
      record.listed = listed.has(id);
      if (!record.listed && record.heard === undefined) {
        roster.delete(id);
        changes.mark();
      }
    }
  }

  return { setListed, onMessage, take, heardAt: () => heardAt };
}
