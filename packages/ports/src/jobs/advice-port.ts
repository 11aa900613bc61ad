/** The service that knows which workers a queue's policy allows a step. */
import type { Millis } from '@paddlewind/domain';

/** Names a step of one occurrence of a job. */
export interface StepRef {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
}

/** What the service answered. */
export type AdviceResult =
  | {
      readonly kind: 'advised';
      /** Tickets by worker, for the workers that may run the step. */
      readonly tickets: ReadonlyMap<string, string>;
      /** How long the tickets are valid. */
      readonly validityMs: Millis;
    }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Asks the service; it answers one question of a host at a time. */
export interface AdvicePort {
  ask(
    step: StepRef,
    workers: readonly string[],
    timeoutMs: Millis,
  ): Promise<AdviceResult>;
}
