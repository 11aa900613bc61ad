/** Restarts a loop when it fails. */
import type { Millis } from '@paddlewind/domain';

import { pause, type HostContext } from './context.js';

/** Delay after the first failure; the cause has usually passed by then. */
const INITIAL_DELAY_MS: Millis = 100;
/** Maximum delay, so that a loop that always fails costs almost nothing. */
const MAX_DELAY_MS: Millis = 5_000;

/**
 * Runs `loop` until it returns, and restarts it after failures. An unhandled rejection would end the process,
 * and with it all other loops that serve callers; the same cause would then end the next leader.
 */
export async function keepRunning(
  ctx: HostContext,
  name: string,
  loop: () => Promise<void>,
): Promise<void> {
  let delayMs = INITIAL_DELAY_MS;
  for (;;) {
    try {
      await loop();
      return;
    } catch (err: unknown) {
      ctx.meters.loopFailed(name);
      ctx.log.error({ err, loop: name }, 'host: a loop failed, runs again');
    }
    await pause(ctx, delayMs);
    delayMs = Math.min(2 * delayMs, MAX_DELAY_MS);
  }
}
