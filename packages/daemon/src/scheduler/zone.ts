/** The folded decision streams of the availability zones that this process follows. */
import {
  applyRecord,
  createScheduleState,
  decisionStream,
  decodeDecision,
  type Decision,
  type ScheduleState,
  type Verdict,
} from '@paddlewind/domain';

import { createListeners } from '../core/listeners.js';
import type { CommittedRecord, Stop, StreamFollower } from '../parts.js';
import type { Follow } from '../shards/types.js';

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
  readonly state: ScheduleState;
  readonly follower: StreamFollower;
  /** Called once for each decision, in order. */
  onDecision(listener: (folded: FoldedDecision) => void): Stop;
}

/** Zones by name. */
export interface Zones {
  /** Follows a zone from now on, with the schedules of `shards`. */
  open(name: string, shards: readonly string[]): Zone;
  known(): readonly Zone[];
  stop: Stop;
}

/** Creates the zones of a process, none of which is followed yet. */
export function createZones(follow: Follow): Zones {
  const zones = new Map<string, Zone>();

  function open(name: string, shards: readonly string[]): Zone {
    const known = zones.get(name);
    if (known !== undefined && hasAll(known, shards)) {
      return known;
    }
    // A new shard changes what earlier records mean here, so the stream is read anew.
    known?.follower.stop();
    const zone = openZone(name, shards, follow);
    zones.set(name, zone);
    return zone;
  }

  return {
    open,
    known: () => [...zones.values()],
    stop: () => {
      zones.forEach(zone => {
        zone.follower.stop();
      });
    },
  };
}

function hasAll(zone: Zone, shards: readonly string[]): boolean {
  return shards.every(shard => zone.state.shards.has(shard));
}

function openZone(
  name: string,
  shards: readonly string[],
  follow: Follow,
): Zone {
  const stream = decisionStream(name);
  const state = createScheduleState(shards);
  const listeners = createListeners<[FoldedDecision]>();

  function fold(record: CommittedRecord): void {
    const verdict = applyRecord(state, record, record.position);
    const decision = decodeDecision(record);
    if (decision !== undefined) {
      const { offset } = record.position;
      listeners.tell({ decision, verdict, offset });
    }
  }

  const follower = follow(stream, records => {
    records.forEach(fold);
  });
  return {
    name,
    stream,
    state,
    follower,
    onDecision: listener => listeners.add(listener),
  };
}
