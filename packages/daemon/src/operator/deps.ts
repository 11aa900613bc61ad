/** What the operators' calls need of the other parts. */
import type {
  AppError,
  ConfigState,
  Instant,
  JobSpec,
} from '@paddlewind/domain';
import type {
  BurnResponse,
  HostStatus,
  JobStatusResponse,
  MemberStatus,
  ShardStatus,
} from '@paddlewind/protocol';
import type { Result } from 'true-myth';

/** Fields of a message of type `T`, without those of the runtime. */
export type Fields<T> = Omit<T, '$typeName' | '$unknown'>;

/** A change of one object; a deletion when `declaration` is null. */
export interface OperatorChange {
  readonly kind: string;
  readonly name: string;
  readonly baseVersion: number;
  readonly declaration: unknown;
}

/** Configuration as operators change and read it. */
export interface OperatorConfig {
  current(): ConfigState;
  /** Publishes a change set; resolves to the offset at which it was accepted. */
  apply(
    id: string,
    changes: readonly OperatorChange[],
    deadline: Instant,
  ): Promise<Result<number, AppError>>;
  /** Resolves to the entry hosts that do not have `offset` in force by the deadline. */
  waitInForce(offset: number, deadline: Instant): Promise<readonly string[]>;
}

/** Jobs as operators submit and follow them. */
export interface OperatorJobs {
  /** Resolves to the shard that holds the job once its record is in the log. */
  submit(
    id: string,
    job: JobSpec,
    deadline: Instant,
  ): Promise<Result<string, AppError>>;
  cancel(id: string, deadline: Instant): Promise<Result<void, AppError>>;
  /** Lifts every hold of a job; a repeat of the same `request` has no further effect. */
  release(
    id: string,
    request: string,
    deadline: Instant,
  ): Promise<Result<void, AppError>>;
  status(
    id: string,
    deadline: Instant,
  ): Promise<Result<JobStatusFields, AppError>>;
}

/** Status of a job with its tasks. */
export type JobStatusFields = Omit<Fields<JobStatusResponse>, 'tasks'> & {
  tasks: Fields<JobStatusResponse['tasks'][number]>[];
};

/** The fleet as this entry host sees it. */
export interface OperatorFleet {
  hosts(): Fields<HostStatus>[];
  shards(): Fields<ShardStatus>[];
  members(): Fields<MemberStatus>[];
  /** Burn as this host measures it when `local`, else summed over the entry hosts. */
  burn(local: boolean): BurnFields | Promise<BurnFields>;
}

/** Burn of every service and window. */
export type BurnFields = Pick<
  Fields<BurnResponse>,
  'evictions' | 'batchCompleted'
> &
  Partial<Pick<Fields<BurnResponse>, 'hosts' | 'missing'>> & {
    windows: Fields<BurnResponse['windows'][number]>[];
    alerts?: Fields<BurnResponse['alerts'][number]>[];
  };

/** What the handlers are given. */
export interface OperatorDeps {
  readonly clock: () => Instant;
  readonly config: OperatorConfig;
  readonly jobs: OperatorJobs;
  readonly fleet: OperatorFleet;
  /** Reasons why this host must not answer; empty when it may. */
  readonly notReady: () => readonly string[];
}
