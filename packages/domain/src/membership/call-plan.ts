/** When to send a heartbeat to whom. */
import type { Instant, Random } from '../core/time.js';
import type { MemberRecord, Roster } from './roster.js';
import type { MembershipSettings } from './settings.js';
import type { TargetCandidate } from './targets.js';
import { localTargets, remoteTargets } from './targets.js';
import type { MemberAddress, MembershipAction } from './types.js';

/** Intervals between two tries to reach a member that is gone or was never heard. */
const GONE_RETRY_INTERVALS = 5;

/** Share of an interval that must lie between two rounds out of turn. */
const SOON_SHARE = 0.25;

/** Plans heartbeats. */
export interface CallPlan {
  /** Returns the calls due, and marks them as under way. */
  due(running: Instant): MembershipAction[];
  /** Calls every target out of turn, at most once in a quarter of an interval. */
  callSoon(running: Instant): void;
  /** Notes that the call to `id` has ended. */
  ended(id: string): void;
  /** Repeats a call whose failure says nothing. */
  callAgain(id: string, running: Instant): void;
  /** Running instant of the first call to a new member, spread over an interval. */
  firstCallAt(running: Instant): Instant;
  /** Notes that members came, went or came back. */
  membersChanged(): void;
}

function chooseTargets(
  self: MemberAddress,
  settings: MembershipSettings,
  roster: Roster,
): ReadonlySet<string> {
  const candidates = [...roster.values()].map((record): TargetCandidate => ({
    ...record.info,
    gone: record.goneAt !== undefined,
  }));
  return new Set([
    ...localTargets(self, candidates, settings.fullMeshLimit),
    ...remoteTargets(self, candidates),
  ]);
}

/** Whether a member that need not be a target is called until its state is clear. */
function isUnclear(record: MemberRecord, ownRegion: string): boolean {
  const isUnheard = record.heard === undefined;
  return (
    record.goneAt !== undefined ||
    record.verifying ||
    record.uncallable ||
    (isUnheard && record.info.region === ownRegion)
  );
}

/** Plans the calls of `self` to the members of `roster`. */
export function createCallPlan(
  self: MemberAddress,
  settings: MembershipSettings,
  random: Random,
  roster: Roster,
): CallPlan {
  let targets: ReadonlySet<string> | undefined;
  let soonAt: Instant | undefined;
  let lastSoonAt = -Infinity;

  function spacing(record: MemberRecord): number {
    const isTarget = targets?.has(record.info.id) === true;
    const isUnheard = record.heard === undefined && !isTarget;
    if (record.goneAt !== undefined || isUnheard) {
      return settings.intervalMs * GONE_RETRY_INTERVALS;
    }
    const remote = record.info.region !== self.region;
    return settings.intervalMs * (remote ? settings.remoteEvery : 1);
  }

  function takeSoon(running: Instant): boolean {
    if (soonAt === undefined || running < soonAt) {
      return false;
    }
    soonAt = undefined;
    lastSoonAt = running;
    return true;
  }

  function isDue(record: MemberRecord, running: Instant, soon: boolean) {
    const isTarget = targets?.has(record.info.id) === true;
    if (record.calling || !(isTarget || isUnclear(record, self.region))) {
      return false;
    }
    const early = soon && isTarget && record.goneAt === undefined;
    return early || running >= record.nextCallAt;
  }

  return {
    due(running) {
      targets ??= chooseTargets(self, settings, roster);
      const soon = takeSoon(running);
      const actions: MembershipAction[] = [];
      for (const record of roster.values()) {
        if (isDue(record, running, soon)) {
          record.calling = true;
          record.nextCallAt = running + spacing(record);
          actions.push({ kind: 'heartbeat', target: record.info });
        }
      }
      return actions;
    },
    callSoon(running) {
      const earliest = lastSoonAt + settings.intervalMs * SOON_SHARE;
      soonAt ??= Math.max(running, earliest);
    },
    ended(id) {
      const record = roster.get(id);
      if (record !== undefined) {
        record.calling = false;
      }
    },
    callAgain(id, running) {
      const record = roster.get(id);
      if (record !== undefined) {
        record.calling = false;
        record.nextCallAt = running;
      }
    },
    firstCallAt: running => running + random() * settings.intervalMs,
    membersChanged() {
      targets = undefined;
    },
  };
}
