/** The availability zones in which nothing more may start, as the operator has published them. */
import type { Instant, Millis } from '@paddlewind/domain';
import type { ZoneEvacuation } from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';
import type { EvacuationTimes } from './meters.js';

/**
 * Part of the time allowed for an evacuation to take effect that is left for orders on their way to workers,
 * which time out after 0.5 s, and for differences between clocks.
 */
const ORDER_ALLOWANCE_MS: Millis = 1_500;

/** An evacuation that is in force. */
interface KnownEvacuation {
  readonly offset: number;
  /** Monotonic time at which this host first read of it. */
  readonly since: Instant;
}

/** The evacuations that this host knows of. */
export class EvacuatedZones {
  private readonly zones = new Map<string, KnownEvacuation>();
  private readAt: Instant = -Infinity;

  /**
   * Creates a set of zones that nothing is known about. Within `effectMs` of the operator's request nothing
   * may start in a zone any more; undefined if the deployment has no such limit.
   */
  constructor(
    private readonly ctx: HostContext,
    private readonly effectMs: Millis | undefined,
  ) {}

  /**
   * Monotonic time until which starts may rely on what is known now. An evacuation that was requested after
   * the last read is unknown to this host.
   */
  get reliableUntil(): Instant {
    return this.effectMs === undefined
      ? Infinity
      : this.readAt + Math.max(0, this.effectMs - ORDER_ALLOWANCE_MS);
  }

  /** Whether no zone is evacuated. */
  get isEmpty(): boolean {
    return this.zones.size === 0;
  }

  /** Whether nothing may start in a zone. */
  has(availabilityZone: string): boolean {
    return this.zones.has(availabilityZone);
  }

  /** Returns how long each evacuation has been known. */
  times(): EvacuationTimes {
    const now = this.ctx.clock();
    return Object.fromEntries(
      [...this.zones].map(([zone, { since }]) => [
        zone,
        Math.round(now - since),
      ]),
    );
  }

  /** Applies all evacuations that were found by a read sent at `sentAt`. */
  apply(found: readonly ZoneEvacuation[], sentAt: Instant): void {
    this.readAt = sentAt;
    const offsets = new Map(
      found.map(({ availabilityZone, offset }) => [availabilityZone, offset]),
    );
    for (const [zone, { offset }] of this.zones) {
      if (!offsets.has(zone)) {
        this.zones.delete(zone);
        this.ctx.log.info({ zone, offset }, 'evacuation: ended');
      }
    }
    for (const [zone, offset] of offsets) {
      if (this.zones.get(zone)?.offset !== offset) {
        this.zones.set(zone, { offset, since: this.ctx.clock() });
        this.ctx.log.info({ zone, offset }, 'evacuation: in force');
      }
    }
    this.ctx.meters.evacuated(this.times());
  }
}
