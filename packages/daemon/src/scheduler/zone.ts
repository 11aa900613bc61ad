/** The folded decision streams of the availability zones that this process follows. */
import {
  applyRecord,
  createScheduleState,
  decisionStream,
  decodeDecision,
  exportSchedule,
  importSchedule,
  parseJson,
  withNamedShards,
  type Decision,
  type ErrorKind,
  type ScheduleState,
  type Verdict,
} from '@paddlewind/domain';

import { Result } from 'true-myth';

import { createListeners } from '../core/listeners.js';
import type { FoldedFollower, FoldedState, FollowFold } from '../log/index.js';
import { SNAPSHOT_KIND_PREFIX } from '../log/priority.js';
import type { CommittedRecord, Stop } from '../parts.js';

/** A decision and what the fold made of it. */
export interface FoldedDecision {
  readonly decision: Decision;
  readonly verdict: Verdict;
  readonly offset: number;
}

/** One availability zone's decisions, folded. */
export interface Zone {
  readonly name: string;
  readonly stream: string;
  /** The state now; another object once a shard is named first, or a snapshot was restored. */
  readonly state: ScheduleState;
  readonly follower: FoldedFollower;
  /** Called once for each decision, in order. */
  onDecision(listener: (folded: FoldedDecision) => void): Stop;
}

/** Zones by name. */
export interface Zones {
  /** Follows a zone from now on. */
  open(name: string): Zone;
  known(): readonly Zone[];
  /** Whether the zone can be folded; a zone that is not followed yet is taken to be. */
  readonly canRead: (name: string) => boolean;
  stop: Stop;
}

/** Why a fold cannot go on, other than a log that does not answer. */
const LASTING_FAILURES: ReadonlySet<ErrorKind> = new Set([
  'log_trimmed',
  'unsupported_record',
  'invalid',
]);

/** Creates the zones of a process, none of which is followed yet; `mayWrite` as of `Follow`. */
export function createZones(
  follow: FollowFold,
  mayWrite: (zone: string) => boolean,
  onDecision: (folded: FoldedDecision) => void = () => undefined,
): Zones {
  const zones = new Map<string, Zone>();

  function open(name: string): Zone {
    const known = zones.get(name);
    if (known !== undefined) {
      return known;
    }
    const zone = openZone(name, follow, mayWrite);
    zone.onDecision(onDecision);
    zones.set(name, zone);
    return zone;
  }

  return {
    open,
    known: () => [...zones.values()],
    canRead: name => {
      const kind = zones.get(name)?.follower.failure()?.kind;
      return kind === undefined || !LASTING_FAILURES.has(kind);
    },
    stop: () => {
      zones.forEach(zone => {
        zone.follower.stop();
      });
    },
  };
}

function openZone(
  name: string,
  follow: FollowFold,
  mayWrite: (zone: string) => boolean,
): Zone {
  const stream = decisionStream(name);
  const listeners = createListeners<[FoldedDecision]>();
  let state = createScheduleState([]);

  function fold(record: CommittedRecord): void {
    if (record.kind.startsWith(SNAPSHOT_KIND_PREFIX)) {
      return;
    }
    state = withNamedShards(state, record);
    const verdict = applyRecord(state, record, record.position);
    const decision = decodeDecision(record);
    if (decision !== undefined) {
      const { offset } = record.position;
      listeners.emit({ decision, verdict, offset });
    }
  }

  const folded: FoldedState = {
    apply: records => {
      records.forEach(fold);
      return Result.ok(undefined);
    },
    capture: () => JSON.stringify(exportSchedule(state)),
    restore: text => {
      const chunks = parseJson(text);
      const restored = importSchedule(Array.isArray(chunks) ? chunks : []);
      return restored.map(imported => {
        state = imported;
      });
    },
  };
  const follower = follow(stream, folded, () => mayWrite(name));
  return {
    name,
    stream,
    get state() {
      return state;
    },
    follower,
    onDecision: listener => listeners.add(listener),
  };
}
