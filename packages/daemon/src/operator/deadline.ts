/** Deadlines of the operators' calls. */
import type { HandlerContext } from '@connectrpc/connect';
import type { Instant } from '@paddlewind/domain';

/** Time that a call without a timeout of its own gets. */
const DEFAULT_CALL_MS = 15_000;

/** Returns the instant by which the call must be answered, on the clock `now` is read from. */
export function callDeadline(ctx: HandlerContext, now: Instant): Instant {
  return now + (ctx.timeoutMs() ?? DEFAULT_CALL_MS);
}
