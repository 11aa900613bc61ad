/** The interfaces through which the parts of the daemon know one another. */
import type {
  AppError,
  Clock,
  ConfigState,
  Instant,
  Position,
  Random,
  RequestEnd,
  Schedule,
  StreamRecord,
} from '@paddlewind/domain';
import type { Host } from '@paddlewind/ports';
import type { Logger } from 'pino';
import type { Registry } from 'prom-client';
import type { Result } from 'true-myth';

/** What every part is given. */
export interface PartContext {
  /** Monotonic milliseconds. */
  readonly clock: Clock;
  readonly random: Random;
  /** Messages start with the prefix of their part, such as `router: `. */
  readonly log: Logger;
  readonly metrics: Registry;
  /** Timers; those of Node.js when absent. */
  readonly schedule?: Schedule;
}

/** Stops a part or a subscription. */
export type Stop = () => void;

/** A record as read from a stream; `readAt` is when this process read it (monotonic). */
export interface CommittedRecord extends StreamRecord {
  readonly position: Position;
  readonly readAt: Instant;
}

/** Appends records in groups and settles ambiguous answers by reading back. */
export interface Committer {
  /**
   * Resolves once the record is known to be in the stream, with its position.
   * `log_unavailable` with outcome `not_run` only when it is surely not there.
   */
  commit(
    stream: string,
    record: StreamRecord,
    deadline: Instant,
  ): Promise<Result<Position, AppError>>;
}

/** Consumes a stream in order; a fold is called once for each whole batch. */
export interface StreamFollower {
  /** Next offset to be read. */
  offset(): number;
  /** Whether the follower has reached the head that it last saw. */
  caughtUp(): boolean;
  /** Resolves when everything before `offset` has been folded, or fails with `timeout`. */
  waitForOffset(
    offset: number,
    deadline: Instant,
  ): Promise<Result<void, AppError>>;
  stop: Stop;
}

/** The hosts as listed, joined with evidence of our own. */
export interface HostView {
  hosts(): readonly Host[];
  onChange(listener: () => void): Stop;
}

/** A peer entry host. */
export interface Peer {
  readonly id: string;
  readonly address: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly incarnation: string;
  readonly state: 'ready' | 'not_ready' | 'leaving' | 'suspected';
  readonly configOffset: number;
  readonly heardAt: Instant;
}

/** The entry hosts that this one takes for live, and what they tell. */
export interface PeerView {
  readonly self: string;
  peers(): readonly Peer[];
  onChange(listener: () => void): Stop;
}

/** Response times that the router saw; the scheduler learns interference from them. */
export interface LatencyFeed {
  onSample(
    listener: (sample: {
      readonly service: string;
      readonly worker: string;
      readonly latencyMs: number;
      readonly at: Instant;
    }) => void,
  ): Stop;
  /** Asks the router to prefer (1) or avoid (towards 0) a worker's backend server for a service. */
  steer(service: string, worker: string, weight: number): void;
}

/** A request of a caller that has ended. */
export interface EndedRequest {
  readonly service: string;
  readonly end: RequestEnd;
  /** The worker that answered, or that was tried last. */
  readonly worker: string | undefined;
  readonly durationMs: number;
}

/** Ends of requests; service-level objectives are measured by them. */
export interface RequestFeed {
  onEnded(listener: (req: EndedRequest) => void): Stop;
}

/** The configuration in force on this entry host. */
export interface ConfigView {
  current(): ConfigState;
  /** Whether this host may serve by what it has; false while it knows of a newer offset. */
  inForce(): boolean;
  onChange(listener: (state: ConfigState) => void): Stop;
}
