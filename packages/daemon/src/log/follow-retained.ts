/** Follows a stream without snapshots from its oldest retained entry. */
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
import { readEnds } from './read-back.js';
import { backoffMs, scheduleOf, sleep } from './timing.js';

/** What to follow; where to begin is learned from the log. */
export type RetainedOptions = Omit<FollowOptions, 'from' | 'onFailure'>;

interface Following {
  readonly options: RetainedOptions;
  readonly abort: AbortController;
  readonly starting: Set<() => void>;
  inner: LogFollower | undefined;
}

/**
 * Starts to follow from the oldest retained entry. Entries that expire before they are read
 * are passed over, which suits state that expires sooner than the log's entries.
 */
export function followRetained(options: RetainedOptions): StreamFollower {
  const following: Following = {
    options,
    abort: new AbortController(),
    starting: new Set(),
    inner: undefined,
  };
  void start(following);
  return {
    offset: () => following.inner?.offset() ?? 0,
    caughtUp: () => following.inner?.caughtUp() ?? false,
    reach: (offset, deadline) => reach(following, offset, deadline),
    stop() {
      following.abort.abort();
      following.inner?.stop();
    },
  };
}

async function start(following: Following): Promise<void> {
  const { options, abort } = following;
  const { ctx, log, stream } = options;
  for (let failures = 1; !abort.signal.aborted; failures++) {
    const ends = await readEnds(log, stream);
    if (ends.isOk) {
      startAt(following, ends.value.first);
      return;
    }
    const wait = backoffMs(failures, ctx.random);
    await sleep(scheduleOf(ctx), wait, abort.signal);
  }
}

function startAt(following: Following, from: number): void {
  if (following.abort.signal.aborted) {
    return;
  }
  following.inner = followStream({
    ...following.options,
    from,
    onFailure: error => {
      failed(following, error);
    },
  });
  for (const started of following.starting) {
    started();
  }
}

function failed(following: Following, error: AppError): void {
  if (error.kind === 'log_trimmed') {
    void start(following);
  }
}

async function reach(
  following: Following,
  offset: number,
  deadline: Instant,
): Promise<Result<void, AppError>> {
  const left = deadline - following.options.ctx.clock();
  if (following.inner === undefined && !(await started(following, left))) {
    return Result.err(appError('timeout', 'The stream is not read yet.'));
  }
  const { inner } = following;
  return inner === undefined
    ? Result.err(appError('canceled', 'The follower has stopped.'))
    : inner.reach(offset, deadline);
}

/** Resolves to whether the stream is followed within `span`. */
function started(following: Following, span: Millis): Promise<boolean> {
  const { starting, options } = following;
  return new Promise(resolve => {
    const cancel = scheduleOf(options.ctx)(Math.max(0, span), () => {
      starting.delete(found);
      resolve(false);
    });
    function found(): void {
      starting.delete(found);
      cancel();
      resolve(true);
    }
    starting.add(found);
  });
}
