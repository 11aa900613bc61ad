/** What the results of a start that several hosts may have sent say together. */
import type { OrderResult } from '@paddlewind/ports/jobs';

import type { StartResult } from './start-sender.js';

/** Whether the outcome is settled: the run has started, or was refused and can't start. */
export function isConclusive({ kind }: OrderResult): boolean {
  return kind === 'accepted' || kind === 'rejected' || kind === 'replaced';
}

/**
 * Combines the result of a start with an earlier attempt through another host whose outcome is
 * unknown. Only an accepted run and results that end the link to the worker are conclusive; a run
 * that is refused as superseded may have started and ended.
 */
export function combineWithRelayed(direct: StartResult): StartResult {
  const isFenced = direct.kind === 'rejected' && direct.why === 'fenced';
  switch (direct.kind) {
    case 'accepted':
    case 'replaced':
    case 'unknown':
    case 'unsure':
      return direct;
    case 'not_wanted':
      return { kind: 'unsure', reason: 'another host may have sent it' };
    case 'not_run':
      return { kind: 'unknown', reason: direct.reason };
    case 'rejected':
      return isFenced ? direct : { kind: 'unsure', reason: direct.why };
  }
}
