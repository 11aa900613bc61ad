/** Port to the advice service, which decides which workers a queue's policy allows for a step. */
import type { Millis } from '@paddlewind/domain';

/** Identifies a step of one occurrence of a job. */
export interface StepRef {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
}

/** Result of a request to the advice service. */
export type AdviceResult =
  | {
      readonly kind: 'advised';
      /** Tickets by worker, for the workers that may run the step. */
      readonly tickets: ReadonlyMap<string, string>;
      /** Period of validity of the tickets. */
      readonly validityMs: Millis;
    }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Client of the advice service, which handles one request per host at a time. */
export interface AdvicePort {
  ask(
    step: StepRef,
    workers: readonly string[],
    timeoutMs: Millis,
  ): Promise<AdviceResult>;
}
