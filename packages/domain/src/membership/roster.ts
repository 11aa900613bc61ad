/** The members that a host knows of, and the merge of what is told of them. */
import type { Instant } from '../core/time.js';
import type { MemberAddress, MemberInfo, MemberView } from './types.js';
import { compareVersions } from './version.js';

/** One moment on the real clock and on the clock without own pauses. */
export interface Moment {
  readonly real: Instant;
  readonly running: Instant;
}

/** A member and the evidence on it. */
export interface MemberRecord {
  info: MemberInfo;
  /** Last news of its life; absent for a host that is only listed. */
  heard: Moment | undefined;
  /** Running instant from which it is suspected. */
  suspectedAt: Instant | undefined;
  /** Running instant at which it was judged to be gone. */
  goneAt: Instant | undefined;
  /** Whether the last calls to it failed, ours and those of the peers asked. */
  uncallable: boolean;
  listed: boolean;
  /** Running instant of the next call to it. */
  nextCallAt: Instant;
  calling: boolean;
  pendingProbes: number;
  /** Whether it is called out of turn, because others suspect it though it was heard lately. */
  verifying: boolean;
}

/** Members by id. */
export type Roster = Map<string, MemberRecord>;

/** Returns a record of a host that has not been heard yet. */
export function unheardRecord(
  address: MemberAddress,
  nextCallAt: Instant,
): MemberRecord {
  return {
    info: {
      ...address,
      incarnation: '',
      sequence: 0,
      state: 'not_ready',
      configOffset: 0,
    },
    heard: undefined,
    suspectedAt: undefined,
    goneAt: undefined,
    uncallable: false,
    listed: false,
    nextCallAt,
    calling: false,
    pendingProbes: 0,
    verifying: false,
  };
}

/** Whether the member was heard and is not judged to be gone. */
export function isPresent(record: MemberRecord): boolean {
  return record.heard !== undefined && record.goneAt === undefined;
}

/** Whether the member is present and nothing speaks against it. */
export function isHealthy(record: MemberRecord): boolean {
  return (
    isPresent(record) &&
    record.suspectedAt === undefined &&
    !record.uncallable &&
    record.info.state !== 'leaving'
  );
}

/** Returns what is told of the member to others. */
export function toldInfo(record: MemberRecord): MemberInfo {
  const doubted =
    record.suspectedAt !== undefined || record.goneAt !== undefined;
  return doubted ? { ...record.info, state: 'suspected' } : record.info;
}

/** Returns the member as parts of this host see it; undefined when it is not present. */
export function viewOf(record: MemberRecord): MemberView | undefined {
  if (record.heard === undefined || record.goneAt !== undefined) {
    return undefined;
  }
  const suspected = record.suspectedAt !== undefined || record.uncallable;
  const leaving = record.info.state === 'leaving';
  const state = suspected && !leaving ? 'suspected' : record.info.state;
  return { ...record.info, state, heardAt: record.heard.real };
}

/** Records that the member lives. */
export function markHeard(record: MemberRecord, moment: Moment): void {
  record.heard = moment;
  record.suspectedAt = undefined;
  record.goneAt = undefined;
}

function isMaterial(before: MemberInfo, after: MemberInfo): boolean {
  return (
    before.incarnation !== after.incarnation ||
    before.state !== after.state ||
    before.configOffset !== after.configOffset ||
    before.address !== after.address
  );
}

/** What became of a piece of information. */
export type MergeVerdict =
  /** Changes what others should know. */
  | 'news'
  /** Only confirms the member's life. */
  | 'confirmed'
  /** Contradicts newer knowledge, which the teller should hear. */
  | 'contradicted'
  /** A suspicion of a member that was heard lately and should be called to make sure. */
  | 'doubtful'
  | 'ignored';

function mergeSuspicion(
  record: MemberRecord,
  info: MemberInfo,
  moment: Moment,
  graceMs: number,
): MergeVerdict {
  if (!isPresent(record) || record.suspectedAt !== undefined) {
    return 'ignored';
  }
  const silentFor = moment.running - (record.heard?.running ?? 0);
  if (silentFor <= graceMs) {
    return 'doubtful';
  }
  if (compareVersions(info, record.info) < 0) {
    return 'contradicted';
  }
  record.suspectedAt = moment.running;
  return 'news';
}

/**
 * Merges what is told of a member into its record.
 * `direct` information comes from the member itself; a suspicion of a member heard within `graceMs` is not taken over.
 */
export function mergeInfo(
  record: MemberRecord,
  info: MemberInfo,
  moment: Moment,
  direct: boolean,
  graceMs: number,
): MergeVerdict {
  if (info.state === 'suspected') {
    return mergeSuspicion(record, info, moment, graceMs);
  }
  const order = compareVersions(info, record.info);
  if (order < 0) {
    const former = direct && info.incarnation !== record.info.incarnation;
    return former ? 'contradicted' : 'ignored';
  }
  if (order === 0 && !direct) {
    return 'ignored';
  }
  const restarted = info.incarnation !== record.info.incarnation;
  const news =
    !isPresent(record) ||
    record.suspectedAt !== undefined ||
    isMaterial(record.info, info);
  record.info = info;
  record.uncallable = record.uncallable && !restarted;
  markHeard(record, moment);
  return news ? 'news' : 'confirmed';
}
