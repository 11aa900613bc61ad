/** Follows a stream that has no snapshots, starting at its oldest retained entry. */
import {
  appError,
  type AppError,
  type Instant,
  type Millis,
} from '@paddlewind/domain';
import { Result } from 'true-myth';

import type { StreamFollower } from '../parts.js';
import {
  followStream,
  type FollowOptions,
  type LogFollower,
} from './follower.js';
import { readBounds } from './read-back.js';
import { backoffMs, scheduleOf, sleep } from './timing.js';

/** Options of the follower; the start offset is read from the log. */
export type RetainedOptions = Omit<FollowOptions, 'from' | 'onFailure'>;

interface RetainedFollowerState {
  readonly options: RetainedOptions;
  readonly abort: AbortController;
  readonly startWaiters: Set<() => void>;
  follower: LogFollower | undefined;
}

/**
 * Starts to follow a stream at its oldest retained entry. Entries that expire before they are read
 * are skipped, which is safe for state that expires sooner than the log's entries.
 */
export function followRetained(options: RetainedOptions): StreamFollower {
  const state: RetainedFollowerState = {
    options,
    abort: new AbortController(),
    startWaiters: new Set(),
    follower: undefined,
  };
  void start(state);
  return {
    offset: () => state.follower?.offset() ?? 0,
    caughtUp: () => state.follower?.caughtUp() ?? false,
    waitForOffset: (offset, deadline) => reach(state, offset, deadline),
    stop() {
      state.abort.abort();
      state.follower?.stop();
    },
  };
}

async function start(state: RetainedFollowerState): Promise<void> {
  const { options, abort } = state;
  const { ctx, log, stream } = options;
  for (let failures = 1; !abort.signal.aborted; failures++) {
    const bounds = await readBounds(log, stream);
    if (bounds.isOk) {
      followFrom(state, bounds.value.first);
      return;
    }
    const wait = backoffMs(failures, ctx.random);
    await sleep(scheduleOf(ctx), wait, abort.signal);
  }
}

function followFrom(state: RetainedFollowerState, from: number): void {
  if (state.abort.signal.aborted) {
    return;
  }
  state.follower = followStream({
    ...state.options,
    from,
    onFailure: error => {
      handleFailure(state, error);
    },
  });
  for (const onStarted of state.startWaiters) {
    onStarted();
  }
}

function handleFailure(state: RetainedFollowerState, error: AppError): void {
  if (error.kind === 'log_trimmed') {
    void start(state);
  }
}

async function reach(
  state: RetainedFollowerState,
  offset: number,
  deadline: Instant,
): Promise<Result<void, AppError>> {
  const left = deadline - state.options.ctx.clock();
  if (state.follower === undefined && !(await waitForStart(state, left))) {
    return Result.err(appError('timeout', 'The stream is not read yet.'));
  }
  const { follower } = state;
  return follower === undefined
    ? Result.err(appError('canceled', 'The follower has stopped.'))
    : follower.waitForOffset(offset, deadline);
}

/** Resolves to true once the stream is being followed, or to false after `timeoutMs`. */
function waitForStart(
  state: RetainedFollowerState,
  timeoutMs: Millis,
): Promise<boolean> {
  const { startWaiters, options } = state;
  return new Promise(resolve => {
    const cancel = scheduleOf(options.ctx)(Math.max(0, timeoutMs), () => {
      startWaiters.delete(onStarted);
      resolve(false);
    });
    function onStarted(): void {
      startWaiters.delete(onStarted);
      cancel();
      resolve(true);
    }
    startWaiters.add(onStarted);
  });
}
