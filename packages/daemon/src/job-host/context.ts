/** What every part of the job host is given. */
import type { Clock, Millis, Random, Schedule } from '@paddlewind/domain';
import type { Logger } from 'pino';

import { sleep } from '../log/timing.js';

/** Clocks, randomness and the log of the process. */
export interface HostContext {
  readonly host: string;
  /** Monotonic. */
  readonly clock: Clock;
  readonly wallClock: Clock;
  readonly random: Random;
  readonly schedule: Schedule;
  readonly log: Logger;
}

/** Resolves after `span`. */
export function pause(ctx: HostContext, span: Millis): Promise<void> {
  return sleep(ctx.schedule, span);
}
