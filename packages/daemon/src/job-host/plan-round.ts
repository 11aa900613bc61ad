/** What a leader decides in one planning round. */
import {
  planSpeculativeCopies,
  planStarts,
  type ApplyStart,
  type PlanInput,
} from '@paddlewind/domain/jobs';

import type { AdmissionReporter } from './admission-reporter.js';
import type { Adviser } from './adviser.js';
import type { HostContext } from './context.js';
import type { RunSupervisor } from './run-supervisor.js';

/** The parts of a leader that take part in a round. */
export interface RoundParts {
  readonly ctx: HostContext;
  readonly supervisor: RunSupervisor;
  readonly admission: AdmissionReporter;
  readonly adviser: Adviser;
  readonly start: ApplyStart;
  /** Returns how many more starts may be decided now. */
  readonly startsLeft: () => number;
}

/**
 * Decides on starts, moves and copies. Copies and moves of slowed fillers cost orders and work that is done
 * already, for which a saturated host has no time.
 */
export function planRound(
  input: PlanInput,
  { ctx, supervisor, admission, adviser, start, startsLeft }: RoundParts,
): void {
  const hasTime = !ctx.isSaturated();
  supervisor.updateLoadForecast(input);
  planStarts(input, start, urgency => {
    supervisor.moveOffLeaving(input, urgency);
  });
  if (hasTime) {
    ctx.times.measure('moves', () => {
      planSpeculativeCopies(input, start);
    });
  }
  admission.noteRound(input, startsLeft() === 0);
  if (hasTime) {
    ctx.times.measure('moves', () => {
      supervisor.stopSlowedFillers(input);
    });
  }
  adviser.askIfNeeded(input);
}
