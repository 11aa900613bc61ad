/** Lets callers wait until a stream has been read up to an offset. */
import { appError, type AppError, type Instant } from '@paddlewind/domain';
import { Result } from 'true-myth';

import type { PartContext } from '../parts.js';
import { scheduleOf } from './timing.js';

/** Callers that wait for offsets of one stream. */
export interface OffsetWaiters {
  /** Resolves once `wake` is called with `offset` or a later one; fails with `timeout` at `deadline`. */
  wait(offset: number, deadline: Instant): Promise<Result<void, AppError>>;
  /** Resolves all waits for `next` or an earlier offset. */
  wake(next: number): void;
  /** Fails all waits with `reason`. */
  fail(reason: AppError): void;
}

/** Result of a successful wait. */
export const REACHED: Result<void, AppError> = Result.ok(undefined);

interface Waiter {
  readonly offset: number;
  readonly resolve: (result: Result<void, AppError>) => void;
}

/** Creates an empty set of waiters for `stream`. */
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
        waiter.resolve(Result.err(notReachedError(stream, offset)));
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

/** Creates the error of a wait on a follower that has stopped. */
export function followerStoppedError(): AppError {
  return appError('canceled', 'The follower has stopped.');
}

function notReachedError(stream: string, offset: number): AppError {
  return appError(
    'timeout',
    `Offset ${offset} of ${stream} was not read by the deadline.`,
  );
}
