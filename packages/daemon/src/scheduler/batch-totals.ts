/** Counts of what became of batch work, for the report on burn. */
import {
  createWindowCounter,
  type Clock,
  type Decision,
} from '@paddlewind/domain';

import type { BatchTotals } from './types.js';
import type { FoldedDecision } from './zone.js';

type TaskDecision = Extract<Decision, { kind: 'task_evicting' | 'task_ended' }>;

const EVICTED = 0;
const COMPLETED = 1;
const KINDS = 2;
const WINDOW_MS = 3 * 86_400_000;

function kindOf(decision: TaskDecision): number | undefined {
  if (decision.kind === 'task_evicting') {
    return decision.body.reason === 'cancelled' ? undefined : EVICTED;
  }
  return decision.body.result === 'completed' ? COMPLETED : undefined;
}

function isTaskDecision(decision: Decision): decision is TaskDecision {
  return decision.kind === 'task_evicting' || decision.kind === 'task_ended';
}

/** Counts decisions of this process, so that the hosts' counts may be added up. */
export function createBatchTotals(
  clock: Clock,
  isOwn: (shard: string, epoch: number) => boolean,
): { take: (folded: FoldedDecision) => void; read: () => BatchTotals } {
  const counter = createWindowCounter(KINDS, clock());
  /** Offset counted last by shard; a zone that is read anew tells earlier ones again. */
  const counted = new Map<string, number>();

  return {
    take({ decision, verdict, offset }) {
      if (!isTaskDecision(decision) || verdict.kind !== 'applied') {
        return;
      }
      const kind = kindOf(decision);
      const { shard, epoch } = decision.body;
      // An entry of the log may hold several decisions.
      const isRepeat = offset < (counted.get(shard) ?? 0);
      if (kind !== undefined && !isRepeat && isOwn(shard, epoch)) {
        counted.set(shard, offset);
        counter.add(kind, clock());
      }
    },
    read() {
      const [evictions = 0, completed = 0] = counter.sum(WINDOW_MS, clock());
      return { evictions, completed };
    },
  };
}
