/** Ways of writing records that the log benchmark compares. */
import {
  createCommitter,
  type Committer,
  type PartContext,
} from '@paddlewind/daemon';
import { encodeBatch, type StreamRecord } from '@paddlewind/domain';
import type { LogService } from '@paddlewind/ports';
import { Result } from 'true-myth';

/** A way of writing. */
export type WritingWay =
  | 'grouped'
  /** Grouped, with a fixed share of the log's rate per host. */
  | 'grouped_shared'
  | 'single_ordered'
  | 'single_parallel';

/** Returns a committer that writes in one of the ways. */
export function createWriter(
  way: WritingWay,
  log: LogService,
  ctx: PartContext,
  share: number,
): Pick<Committer, 'commit'> {
  switch (way) {
    case 'grouped':
      return createCommitter({ log, ctx });
    case 'grouped_shared':
      return createCommitter({ log, ctx, appendsPerSecond: share });
    case 'single_ordered':
      return createCommitter({ log, ctx, limits: { maxBatchRecords: 1 } });
    case 'single_parallel':
      return createParallelWriter(log, ctx);
  }
}

const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 5_000;

/** One append per record, any number in flight, in no order. */
function createParallelWriter(
  log: LogService,
  ctx: PartContext,
): Pick<Committer, 'commit'> {
  async function commit(
    stream: string,
    record: StreamRecord,
    deadline: number,
  ): ReturnType<Committer['commit']> {
    let backoff = FIRST_BACKOFF_MS;
    for (;;) {
      const appended = await log.append(stream, encodeBatch([record]));
      if (appended.isOk) {
        return Result.ok({ offset: appended.value, index: 0 });
      }
      const wait = backoff * (0.5 + ctx.random() / 2);
      if (ctx.clock() + wait > deadline) {
        return Result.err(appended.error);
      }
      await new Promise<void>(resolve => ctx.schedule?.(wait, resolve));
      backoff = Math.min(MAX_BACKOFF_MS, backoff * 2);
    }
  }
  return { commit };
}
