import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { FailureReason, JobState } from './job.js';
import {
  decodeSummary,
  encodeSummary,
  summaryRowOf,
  Summary,
} from './summary.js';
import { stateOf, testJob } from './test-support.js';

/** Returns what a reader is told of a job that has failed for a reason, or has not. */
function readState(failure: FailureReason | undefined): JobState | undefined {
  const job = stateOf(testJob('a', [{ tasks: 1 }])).jobs.get('a');
  assert.ok(job);
  job.failure = failure;
  const rows = [summaryRowOf(job)];
  const bytes = encodeSummary({ kind: 'rows', inboxUpTo: 1, rows });
  const record = decodeSummary(bytes);
  assert.ok(record?.kind === 'rows');
  const summary = new Summary();
  summary.apply(record.rows, 0);
  assert.deepEqual(summary.rows(), rows);
  return summary.stateOf('a');
}

test('readers of the summary know why a job has failed', () => {
  for (const failure of ['attempts_spent', 'workers_lost'] as const) {
    assert.deepEqual(readState(failure), { status: 'failed', failure });
  }
  assert.deepEqual(readState(undefined), { status: 'queued' });
});

test('a row of an earlier version says that a job has failed, and not why', () => {
  const text = JSON.stringify(['r', 1, [['a', 'f']]]);
  const record = decodeSummary(new TextEncoder().encode(text));
  assert.ok(record?.kind === 'rows');
  const summary = new Summary();
  summary.apply(record.rows, 0);
  assert.deepEqual(summary.stateOf('a'), { status: 'failed' });
});
