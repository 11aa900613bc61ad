/** Dependencies shared by all parts of the job host. */
import type { Clock, Millis, Random, Schedule } from '@paddlewind/domain';
import type { Logger } from 'pino';

import { sleep } from '../log/timing.js';
import type { JobMeters } from './meters.js';
import type { PartTimes } from './part-times.js';
import type { StageWaits } from './stage-waits.js';

/** Clocks, randomness, the log and the metrics of the process. */
export interface HostContext {
  readonly host: string;
  /** Monotonic. */
  readonly clock: Clock;
  readonly wallClock: Clock;
  readonly random: Random;
  readonly schedule: Schedule;
  readonly log: Logger;
  readonly meters: JobMeters;
  readonly times: PartTimes;
  /** How long work waits while this host leads. */
  readonly waits: StageWaits;
  /** Whether the event loop has had no time to spare lately, so that what serves least is put off. */
  readonly isSaturated: () => boolean;
  /** Busy share of the event loop in the last sample, in percent. */
  readonly busyPercent: () => number;
}

/** Resolves once `event` does, after `span` at the latest; no timer is left behind. */
export function waitFor(
  ctx: HostContext,
  event: Promise<unknown>,
  span: Millis,
): Promise<void> {
  return new Promise(resolve => {
    const cancel = ctx.schedule(span, resolve);
    void event.then(() => {
      cancel();
      resolve();
    });
  });
}

/** Resolves after `span`. */
export function pause(ctx: HostContext, span: Millis): Promise<void> {
  return sleep(ctx.schedule, span);
}
