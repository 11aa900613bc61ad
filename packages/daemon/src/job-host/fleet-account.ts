/** Reports how the fleet's processors are used and why tasks wait, while this host leads. */
import {
  EMPTY_FLEET_SNAPSHOT,
  snapshotFleet,
  type PlanInput,
  type PlanWorker,
  type CapacityRow,
  type WorkerInfo,
} from '@paddlewind/domain/jobs';

import { pause, type HostContext } from './context.js';
import type { PaceReport } from './decision-pace.js';
import type { EvacuationTimes } from './meters.js';
import { SaturatedInterval } from './saturated-interval.js';
import {
  FLEET_ACCOUNT_INTERVAL_MS,
  SATURATED_ACCOUNT_INTERVAL_MS,
} from './timing.js';

/** Sources of the fleet account. */
export interface FleetAccountOptions {
  readonly ctx: HostContext;
  readonly planInput: () => PlanInput;
  readonly registeredWorkers: () => WorkerInfo[];
  /** Workers that could be assigned tasks if their zones were not evacuated. */
  readonly evacuatedWorkers: () => PlanWorker[];
  readonly evacuationTimes: () => EvacuationTimes;
  /** Rows of the forecast of capacity; undefined where hosts refuse nothing by it. */
  readonly rooms: () => readonly CapacityRow[] | undefined;
  /** Whether nothing may start now because the log does not answer. */
  readonly isLogUnavailable: () => boolean;
  /** What the leader's rounds took, and what it limits. */
  readonly takePace: () => PaceReport;
  readonly hasEnded: () => boolean;
}

/** Resets the metrics of the account, since this host leads no more. */
export function clearFleetAccount({ meters }: HostContext): void {
  meters.accounted(EMPTY_FLEET_SNAPSHOT);
  meters.loadPeriod(undefined);
  meters.capacityForecast([]);
}

/** Logs the account and updates its metrics until the leader has ended. */
export async function publishFleetAccount({
  ctx,
  planInput,
  registeredWorkers,
  evacuatedWorkers,
  evacuationTimes,
  rooms,
  isLogUnavailable,
  takePace,
  hasEnded,
}: FleetAccountOptions): Promise<void> {
  const interval = new SaturatedInterval(ctx, SATURATED_ACCOUNT_INTERVAL_MS);
  for (;;) {
    await pause(ctx, FLEET_ACCOUNT_INTERVAL_MS);
    if (hasEnded()) {
      return;
    }
    if (!interval.isDue()) {
      continue;
    }
    const plan = planInput();
    const account = ctx.times.measure('account', () =>
      snapshotFleet({
        plan,
        registered: registeredWorkers(),
        evacuated: evacuatedWorkers(),
        isLogUnavailable: isLogUnavailable(),
      }),
    );
    ctx.meters.accounted(account);
    const { maxStarts } = plan;
    const evacuatedMs = evacuationTimes();
    const forecast = rooms();
    ctx.meters.capacityForecast(forecast ?? []);
    ctx.log.info(
      { ...account, evacuatedMs, maxStarts, forecast, pace: takePace() },
      'leader: the fleet',
    );
  }
}
