/** What every part of the job host is given. */
import type { Clock, Random } from '@paddlewind/domain';
import type { Logger } from 'pino';

/** Clocks, randomness and the log of the process. */
export interface HostContext {
  readonly host: string;
  /** Monotonic. */
  readonly clock: Clock;
  readonly wallClock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/** Resolves after `ms`. */
export function pause(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}
