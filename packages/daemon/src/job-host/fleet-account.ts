/** Tells who holds the fleet's processors and why tasks wait, for as long as this host leads. */
import {
  accountFleet,
  type PlanInput,
  type WorkerInfo,
} from '@paddlewind/domain/jobs';

import { pause, type HostContext } from './context.js';
import { ACCOUNT_EVERY_MS } from './timing.js';

/** What the account is drawn up from. */
export interface FleetAccountOptions {
  readonly ctx: HostContext;
  readonly planInput: () => PlanInput;
  readonly registeredWorkers: () => WorkerInfo[];
  readonly ended: () => boolean;
}

/** Logs and measures the account until the leader has ended. */
export async function keepAccount({
  ctx,
  planInput,
  registeredWorkers,
  ended,
}: FleetAccountOptions): Promise<void> {
  for (;;) {
    await pause(ctx, ACCOUNT_EVERY_MS);
    if (ended()) {
      return;
    }
    const account = accountFleet({
      plan: planInput(),
      registered: registeredWorkers(),
    });
    ctx.meters.accounted(account);
    ctx.log.info({ ...account }, 'leader: the fleet');
  }
}
