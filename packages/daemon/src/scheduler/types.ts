/** The interface of the scheduler to the other parts of the daemon. */
import type {
  Clock,
  Instant,
  JobSpec,
  Millis,
  PlacementPenalty,
  Resources,
  SchedulableWorker,
} from '@paddlewind/domain';
import type { AttemptRef, WorkerAgent, WorkerReport } from '@paddlewind/ports';

import type { FollowFold } from '../log/index.js';
import type { OperatorJobs } from '../operator/deps.js';
import type {
  Committer,
  ConfigView,
  HostView,
  PartContext,
  PeerView,
  Stop,
} from '../parts.js';
import type { ShardOwnership } from '../shards/types.js';

/** Times of task leases, see docs/design/task-leases.md. */
export interface TaskTiming {
  /** Lease of a task at its worker, counted there from receipt. */
  readonly leaseMs: Millis;
  readonly syncEveryMs: Millis;
  /** Pause between syncs of a worker from which an end is awaited. */
  readonly urgentSyncMs: Millis;
  /** A worker silent for this long is no longer renewed, so that its leases can lapse. */
  readonly suspectMs: Millis;
  /** Largest difference in rate between two hosts' clocks, such as 0.001. */
  readonly drift: number;
  /** Covers requests under way when a renewal is given up. */
  readonly marginMs: Millis;
  /** How long an owner goes on renewing after its shard lease ended in an outage of the log. */
  readonly outageHoldMs: Millis;
  /** Without the shard lease, renewals need most workers to have answered within this time. */
  readonly renewOnlyWindowMs: Millis;
  /** Time that a stopped task has to clean up. */
  readonly stopGraceMs: Millis;
}

/** Settings of the scheduler. */
export interface SchedulerConfig {
  readonly region: string;
  readonly availabilityZone: string;
  /** Time between two rounds of syncs and decisions; what was recorded is followed at once. */
  readonly roundMs: Millis;
  readonly tasks: TaskTiming;
}

/** What batch work on a worker would do to the services there. */
export type BatchAdvice = Pick<
  SchedulableWorker,
  'batchPenalty' | 'avoidBatch'
>;

/** What the scheduler is given. */
export interface SchedulerParts {
  readonly ctx: PartContext;
  readonly cfg: SchedulerConfig;
  /** Wall-clock milliseconds, for the records; no hard promise rests on it. */
  readonly wall: Clock;
  readonly config: ConfigView;
  readonly hosts: HostView;
  readonly peers: Pick<PeerView, 'self'>;
  readonly committer: Committer;
  readonly follow: FollowFold;
  readonly ownership: ShardOwnership;
  readonly agent: WorkerAgent;
  /** Advice on a worker by interference; none when absent. */
  readonly advise?: (worker: string) => BatchAdvice;
  /** Harm of one more batch task by interference; none when absent. */
  readonly penalty?: PlacementPenalty;
  /** Told of every report of a worker, with when it came. */
  readonly onReport?: (report: WorkerReport, at: Instant) => void;
}

/** An attempt that runs on a worker of a shard that this process decides on. */
export interface RunningAttempt {
  readonly shard: string;
  readonly worker: string;
  readonly ref: AttemptRef;
  readonly job: JobSpec;
  /** What is set aside for it. */
  readonly size: Resources;
  readonly startedAtWall: Instant;
  /** When its progress was last saved; undefined before the first report. */
  readonly savedAtWall: Instant | undefined;
}

/** Control of running attempts; acts only on shards that this process decides on. */
export interface AttemptControl {
  running(): RunningAttempt[];
  /** Runs an attempt at a share of its cores; resolves to whether the agent took the command. */
  throttle(attempt: RunningAttempt, share: number): Promise<boolean>;
  /** Records an eviction because of interference; false when policy or state forbids it. */
  evict(attempt: RunningAttempt): boolean;
}

/** Tasks of a shard. */
export interface ShardCounts {
  readonly shard: string;
  readonly running: number;
  readonly queued: number;
  readonly held: number;
}

/** Tasks and their use on a worker. */
export interface WorkerUse {
  readonly worker: string;
  readonly tasks: number;
  readonly used: Resources;
}

/** What became of batch work. */
export interface BatchTotals {
  readonly evictions: number;
  readonly completed: number;
}

/** Places tasks on the workers of the shards that this process owns. */
export interface Scheduler extends OperatorJobs {
  readonly attempts: AttemptControl;
  /** Shards that this process decides on or follows. */
  counts(): ShardCounts[];
  workerUse(): WorkerUse[];
  /** Jobs with a task on the worker; undefined when its shard is not followed here. */
  jobsOn(worker: string): readonly string[] | undefined;
  /** Ends and evictions that this process decided, over the last 3 days at most. */
  batchTotals(): BatchTotals;
  /** Shards that this process decides on at this instant. */
  deciding(): string[];
  /** Whether the decisions of an availability zone can be read, as far as is known. */
  readonly canRead: (availabilityZone: string) => boolean;
  /** Decides nothing more and resolves when all that was sent is settled, or at the deadline. */
  drain(deadline: Instant): Promise<void>;
  stop: Stop;
}
