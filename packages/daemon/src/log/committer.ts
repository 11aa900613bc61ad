/** Group commit with at most one append in flight per stream; lost replies are settled by reading. */
import {
  appError,
  type AppError,
  type Instant,
  type Position,
  type StreamRecord,
} from '@paddlewind/domain';
import type { LogService } from '@paddlewind/ports';
import { Result } from 'true-myth';

import type { Committer, PartContext, Stop } from '../parts.js';
import { createAppendBudget } from './append-budget.js';
import {
  createCommitQueue,
  LOG_RETRY_AFTER_MS,
  unsettledError,
  notWrittenError,
  type CommitLimits,
  type PendingRecord,
} from './commit-queue.js';
import { createLogMetrics } from './metrics.js';
import { startStreamWriter, type StreamWriter } from './stream-writer.js';
import { scheduleOf } from './timing.js';

/** Options of a committer. */
export interface CommitterOptions {
  readonly log: LogService;
  readonly ctx: PartContext;
  readonly limits?: Partial<CommitLimits>;
  /** Maximum appends per second of this process; reduced while the log refuses appends. */
  readonly appendsPerSecond?: number;
}

/** Committer that can be stopped; pending records then fail. */
export interface StoppableCommitter extends Committer {
  /** Number of pending records over all streams. */
  waiting(): number;
  stop: Stop;
}

const DEFAULT_LIMITS: CommitLimits = {
  maxBatchRecords: 512,
  maxBatchBytes: 256 * 1024,
  maxWaitingRecords: 8_192,
  maxWaitingBytes: 4 * 1024 * 1024,
};
const DEFAULT_APPENDS_PER_SECOND = 100;
const MIN_APPENDS_PER_SECOND = 2;

/** Creates the committer of a process. */
export function createCommitter(options: CommitterOptions): StoppableCommitter {
  const { ctx, log } = options;
  const schedule = scheduleOf(ctx);
  const limits = { ...DEFAULT_LIMITS, ...options.limits };
  const budget = createAppendBudget(ctx.clock, schedule, {
    maxPerSecond: options.appendsPerSecond ?? DEFAULT_APPENDS_PER_SECOND,
    minPerSecond: MIN_APPENDS_PER_SECOND,
  });
  const metrics = createLogMetrics(ctx.metrics);
  const writers = new Map<string, StreamWriter>();
  let stopped = false;

  function writerOf(stream: string): StreamWriter {
    let writer = writers.get(stream);
    if (writer === undefined) {
      const queue = createCommitQueue(limits);
      writer = startStreamWriter({ stream, log, ctx, budget, queue, metrics });
      writers.set(stream, writer);
    }
    return writer;
  }

  function commit(
    stream: string,
    record: StreamRecord,
    deadline: Instant,
  ): Promise<Result<Position, AppError>> {
    const bytes = JSON.stringify(record).length;
    const refusal = stopped
      ? notWrittenError('The committer has stopped.')
      : refusalOf(record, bytes, limits, deadline <= ctx.clock());
    if (refusal !== undefined) {
      return Promise.resolve(Result.err(refusal));
    }
    return new Promise(resolve => {
      const pending = createPending({ record, bytes, deadline }, ctx, resolve);
      if (!writerOf(stream).offer(pending)) {
        pending.settle(Result.err(queueFullError(stream)));
      }
    });
  }

  return {
    commit,
    waiting: () =>
      [...writers.values()].reduce((sum, writer) => sum + writer.waiting(), 0),
    stop: () => {
      stopped = true;
      budget.stop();
      writers.forEach(writer => {
        writer.stop();
      });
    },
  };
}

function refusalOf(
  record: StreamRecord,
  bytes: number,
  limits: CommitLimits,
  isLate: boolean,
): AppError | undefined {
  if (bytes > limits.maxBatchBytes) {
    return appError('too_large', `Record ${record.id} is larger than a batch.`);
  }
  return isLate
    ? notWrittenError('The deadline passed before the record was sent.')
    : undefined;
}

function createPending(
  offered: Pick<PendingRecord, 'record' | 'bytes' | 'deadline'>,
  ctx: PartContext,
  resolve: (result: Result<Position, AppError>) => void,
): PendingRecord {
  const pending: PendingRecord = {
    ...offered,
    attemptState: 'not_sent',
    settled: false,
    settle: result => {
      if (!pending.settled) {
        pending.settled = true;
        cancel();
        resolve(result);
      }
    },
  };
  const cancel = scheduleOf(ctx)(offered.deadline - ctx.clock(), () => {
    pending.settle(Result.err(unsettledError(pending)));
  });
  return pending;
}

function queueFullError(stream: string): AppError {
  return appError('overloaded', `Too many records wait for ${stream}.`, {
    outcome: 'not_run',
    retryAfterMs: LOG_RETRY_AFTER_MS,
  });
}
