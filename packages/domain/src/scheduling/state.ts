/** The state folded from the decision stream of one availability zone. */
import type { Position } from '../streams/record.js';

import {
  newShardSchedule,
  type ShardReport,
  type ShardSchedule,
} from './shard.js';

/** An owner that opened a shard. */
export interface Opening {
  readonly epoch: number;
  readonly owner: string;
}

/** State of the fold, with whole schedules only for the shards asked for. */
export interface ScheduleState {
  readonly shards: ReadonlyMap<string, ShardSchedule>;
  /** Latest opening of every shard of the availability zone. */
  readonly openings: Map<string, Opening>;
  /** Home shard of each job lately submitted to any shard. */
  readonly homes: Map<string, string>;
  /** Jobs lately cancelled, here or elsewhere. */
  readonly cancelled: Map<string, true>;
  /** Latest loan of each lending shard. */
  readonly loans: Map<string, number>;
  /** Latest report of each shard. */
  readonly reports: Map<string, ShardReport>;
  /** Position of the last record applied; undefined before the first. */
  position: Position | undefined;
  malformed: number;
  voided: number;
}

/** Submitted jobs of other shards that are remembered, so that a job gets one home. */
export const HOMES_REMEMBERED = 16_384;

/** Cancelled jobs that are remembered, so that a task on the move is cancelled where it arrives. */
export const CANCELLED_REMEMBERED = 16_384;

/** Returns the state before the first record, for `shards` of one availability zone. */
export function createScheduleState(shards: readonly string[]): ScheduleState {
  return {
    shards: new Map(shards.map(name => [name, newShardSchedule(name)])),
    openings: new Map(),
    homes: new Map(),
    cancelled: new Map(),
    loans: new Map(),
    reports: new Map(),
    position: undefined,
    malformed: 0,
    voided: 0,
  };
}

/** Returns the epoch that may decide on `shard`; 0 before the first owner. */
export function epochAt(state: ScheduleState, shard: string): number {
  return state.openings.get(shard)?.epoch ?? 0;
}
