/** Follows what the operator publishes: the configuration and the evacuations of zones. */
import type { Millis } from '@paddlewind/domain';
import type { OperatorFeed } from '@paddlewind/ports/jobs';

import type { ConfigHolder } from './config-holder.js';
import { pause, type HostContext } from './context.js';
import type { EvacuatedZones } from './evacuated-zones.js';

/**
 * Longest wait for a change in one read. A read that was lost to a network partition has to time
 * out and be repeated within the 3 s after which a host counts as connected again.
 */
const WAIT_MS: Millis = 1_500;
/**
 * The same on the leader, whose starts depend on the age of what it has read: two reads of a slow log
 * stay below the age at which they are held back.
 */
const LEADER_WAIT_MS: Millis = 700;
/** Pause between reads while the log does not answer or has no usable configuration. */
const RETRY_MS: Millis = 200;

/** Dependencies of the follower. */
export interface OperatorFollowerOptions {
  readonly ctx: HostContext;
  readonly feed: OperatorFeed;
  readonly config: ConfigHolder;
  readonly evacuatedZones: EvacuatedZones;
  readonly isLeading: () => boolean;
}

/** Follows the feed for the lifetime of the process. */
export async function followOperator({
  ctx,
  feed,
  config,
  evacuatedZones,
  isLeading,
}: OperatorFollowerOptions): Promise<never> {
  for (;;) {
    const sentAt = ctx.clock();
    const found = await feed.next(isLeading() ? LEADER_WAIT_MS : WAIT_MS);
    if (found.kind === 'value') {
      evacuatedZones.apply(found.value.evacuations, sentAt);
      config.apply(found.value.config);
    }
    if (found.kind === 'unavailable' || found.value.config.kind !== 'value') {
      await pause(ctx, RETRY_MS);
    }
  }
}
