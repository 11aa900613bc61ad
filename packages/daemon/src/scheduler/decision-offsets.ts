/** Offsets of an owner's decisions, which order the commands to the agents. */
import type { FoldedDecision } from './zone.js';

/** Offsets of the latest decision on each task of a shard under one epoch. */
export interface DecisionOffsets {
  /** Notes the offset of the owner's opening. */
  opened(offset: number): void;
  note(folded: FoldedDecision): void;
  /** Returns the offset of the latest decision on `task`, or else of the opening. */
  of(task: string): number;
}

/** Creates the offsets of a shard's owner. */
export function createDecisionOffsets(
  shard: string,
  epoch: number,
): DecisionOffsets {
  const offsets = new Map<string, number>();
  let openedOffset = 0;

  function note({ decision, verdict, offset }: FoldedDecision): void {
    if (verdict.kind !== 'applied' || !('task' in decision.body)) {
      return;
    }
    const { body } = decision;
    const isOwn =
      'shard' in body && body.shard === shard && body.epoch === epoch;
    if (!isOwn) {
      return;
    }
    if (decision.kind === 'task_ended') {
      offsets.delete(body.task);
    } else {
      offsets.set(body.task, offset);
    }
  }

  return {
    opened: offset => {
      openedOffset = offset;
    },
    note,
    of: task => offsets.get(task) ?? openedOffset,
  };
}
