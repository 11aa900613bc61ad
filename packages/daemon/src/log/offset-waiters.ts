/** Waits until a stream has been folded up to an offset. */
import { appError, type AppError, type Instant } from '@paddlewind/domain';
import { Result } from 'true-myth';

import type { PartContext } from '../parts.js';
import { scheduleOf } from './timing.js';

/** Those who wait for an offset of one stream. */
export interface OffsetWaiters {
  /** Resolves once `wake` was called with `offset` or beyond, or fails with `timeout`. */
  wait(offset: number, deadline: Instant): Promise<Result<void, AppError>>;
  wake(next: number): void;
  /** Fails all who wait. */
  fail(reason: AppError): void;
}

/** The result of a wait that succeeded. */
export const REACHED: Result<void, AppError> = Result.ok(undefined);

interface Waiter {
  readonly offset: number;
  readonly resolve: (result: Result<void, AppError>) => void;
}

/** Creates the waiters of `stream`. */
export function createOffsetWaiters(
  ctx: Pick<PartContext, 'clock' | 'schedule'>,
  stream: string,
): OffsetWaiters {
  const waiters = new Set<Waiter>();

  function wait(
    offset: number,
    deadline: Instant,
  ): Promise<Result<void, AppError>> {
    return new Promise(resolve => {
      const waiter: Waiter = {
        offset,
        resolve: result => {
          cancel();
          waiters.delete(waiter);
          resolve(result);
        },
      };
      const cancel = scheduleOf(ctx)(deadline - ctx.clock(), () => {
        waiter.resolve(Result.err(notReached(stream, offset)));
      });
      waiters.add(waiter);
    });
  }

  function wake(next: number): void {
    for (const waiter of waiters) {
      if (waiter.offset <= next) {
        waiter.resolve(REACHED);
      }
    }
  }

  function fail(reason: AppError): void {
    for (const waiter of waiters) {
      waiter.resolve(Result.err(reason));
    }
  }

  return { wait, wake, fail };
}

/** The error of a wait on a follower that has stopped. */
export function followerStopped(): AppError {
  return appError('canceled', 'The follower has stopped.');
}

function notReached(stream: string, offset: number): AppError {
  return appError(
    'timeout',
    `Offset ${offset} of ${stream} was not read by the deadline.`,
  );
}
