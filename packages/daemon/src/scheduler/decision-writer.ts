/** Commits the decisions of one shard owner and keeps those that are not folded yet. */
import type { Decision } from '@paddlewind/domain';

import { scheduleOf, sleep } from '../log/timing.js';
import type { Committer, PartContext } from '../parts.js';
import type { Zone } from './zone.js';

const COMMIT_TIMEOUT_MS = 10_000;
const RETRY_MS = 500;

/** Writes decisions ahead of every action. */
export interface DecisionWriter {
  /** Commits a decision that is not pending yet; one whose outcome is unknown is sent again. */
  write(decision: Decision): void;
  isPending(id: string): boolean;
  pending(): readonly Decision[];
  /** Changes whenever what is pending does. */
  version(): number;
  /** Sends nothing again from now on. */
  close(): void;
}

/** Creates a writer to the zone's stream; `settled` is called whenever fewer are pending. */
export function createDecisionWriter(
  ctx: PartContext,
  committer: Committer,
  zone: Zone,
  settled: () => void,
): DecisionWriter {
  const pending = new Map<string, Decision>();
  let closed = false;
  let version = 0;

  async function commit(decision: Decision): Promise<void> {
    while (!closed && pending.has(decision.id)) {
      const deadline = ctx.clock() + COMMIT_TIMEOUT_MS;
      const result = await committer.commit(zone.stream, decision, deadline);
      if (result.isOk) {
        const next = result.value.offset + 1;
        await zone.follower.waitForOffset(next, Number.MAX_SAFE_INTEGER);
        break;
      }
      if (result.error.outcome === 'not_run') {
        break;
      }
      // It may be in the log: until that is known it takes its place in every plan.
      await sleep(scheduleOf(ctx), RETRY_MS);
    }
    pending.delete(decision.id);
    version += 1;
    settled();
  }

  return {
    write: decision => {
      if (!closed && !pending.has(decision.id)) {
        pending.set(decision.id, decision);
        version += 1;
        void commit(decision);
      }
    },
    isPending: id => pending.has(id),
    pending: () => [...pending.values()],
    version: () => version,
    close: () => {
      closed = true;
    },
  };
}
