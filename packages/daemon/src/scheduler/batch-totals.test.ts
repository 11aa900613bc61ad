import assert from 'node:assert/strict';
import test from 'node:test';

import { decision, type Verdict } from '@paddlewind/domain';

import { createBatchTotals } from './batch-totals.js';
import type { FoldedDecision } from './zone.js';

const APPLIED: Verdict = { kind: 'applied' };
const ATTEMPT = { shard: 's', epoch: 2, task: 'j/0', attempt: 1, atWall: 0 };

function ended(offset: number, epoch = 2, verdict = APPLIED): FoldedDecision {
  const body = { ...ATTEMPT, epoch, result: 'completed' as const };
  return { decision: decision('task_ended', body), verdict, offset };
}

test('own decisions that took effect are counted once', () => {
  const totals = createBatchTotals(
    () => 1_000,
    (_shard, epoch) => epoch === 2,
  );
  const evicting = decision('task_evicting', {
    ...ATTEMPT,
    reason: 'preempted',
  });
  totals.take({ decision: evicting, verdict: APPLIED, offset: 4 });
  totals.take(ended(5));
  totals.take(ended(5));
  totals.take(ended(6, 1));
  totals.take(ended(7, 2, { kind: 'void', reason: 'duplicate' }));
  totals.take(ended(4));
  assert.deepEqual(totals.read(), { evictions: 1, completed: 2 });
});
