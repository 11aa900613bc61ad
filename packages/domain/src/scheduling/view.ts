/** What the planner is told beside the folded state. */
import type { Resources } from '../core/resources.js';
import type { PolicySpec } from '../declarations/schemas.js';
import type { PlacementPenalty } from '../interference/penalty.js';

import type { Decision } from './records.js';

/** Whether a worker may be given work. */
export type WorkerAvailability = 'live' | 'drained' | 'leaving' | 'unreachable';

/** A worker of the shard as its owner sees it now. */
export interface SchedulableWorker {
  readonly id: string;
  readonly rack: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly capacity: Resources;
  /** What the backend servers on it take. */
  readonly reserved: Resources;
  readonly availability: WorkerAvailability;
  /** Expected harm of batch work to the services on it: 0 for none, 1 for the worst tolerated. */
  readonly batchPenalty: number;
  /** Whether no batch work may be started on it for now. */
  readonly avoidBatch: boolean;
}

/** A team's part in this shard. */
export interface TeamView {
  readonly name: string;
  readonly weight: number;
  /** The shard's own part of the quota, before loans; unlimited when absent. */
  readonly allotment?: Resources;
}

/** Another shard of the availability zone, for work that this one cannot hold. */
export interface SiblingView {
  readonly shard: string;
  readonly workers: readonly Pick<
    SchedulableWorker,
    'labels' | 'capacity' | 'reserved'
  >[];
}

/** What the planner of a shard is told; pass the same `policies` and `teams` arrays while they are unchanged. */
export interface ScheduleView {
  readonly shard: string;
  /** Epoch under which the caller owns the shard. */
  readonly epoch: number;
  readonly workers: readonly SchedulableWorker[];
  readonly policies: readonly PolicySpec[];
  readonly teams: readonly TeamView[];
  readonly siblings: readonly SiblingView[];
  readonly logAvailable: boolean;
  /** Expected harm of one more task, on the scale of `batchPenalty`; none when absent. */
  readonly penalty?: PlacementPenalty;
  /** Own decisions that are appended or being appended but not folded yet. */
  readonly pending: readonly Decision[];
}
