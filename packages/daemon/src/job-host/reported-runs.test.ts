import assert from 'node:assert/strict';
import { test } from 'node:test';

import { runKey, taskName } from '@paddlewind/domain/jobs';

import { ReportedRuns, type Report } from './reported-runs.js';

const ACTIVE = { job: 'a', occurrence: 0, step: 0, index: 0 };
const ENDED = { ...ACTIVE, index: 1 };
const OTHER = { ...ACTIVE, index: 2 };

function reportWith(hasMoreEnds: boolean): Report {
  const active = { task: ACTIVE, checkpoint: '', percent: 0, reading: 0 };
  const ended = { position: 1, task: ENDED, checkpoint: '' };
  return {
    kind: 'seen',
    startedAt: undefined,
    clock: 0,
    active: [{ ...active, run: 1 }],
    ended: [{ ...ended, run: 1, how: 'done' }],
    hasMoreEnds,
  };
}

// A leader took runs for absent whose ends came after the first 500.
test('a run that is not listed is absent only if all ends are listed', () => {
  for (const hasMoreEnds of [false, true]) {
    const reported = new ReportedRuns(reportWith(hasMoreEnds));
    const presences = [ACTIVE, ENDED, OTHER].map(task =>
      reported.presenceOf(runKey(taskName(task), 1)),
    );
    const unlisted = hasMoreEnds ? 'unknown' : 'absent';
    assert.deepEqual(presences, ['listed', 'listed', unlisted]);
  }
});

test('another run of a listed task is not listed', () => {
  const reported = new ReportedRuns(reportWith(false));
  assert.equal(reported.presenceOf(runKey(taskName(ENDED), 2)), 'absent');
});
