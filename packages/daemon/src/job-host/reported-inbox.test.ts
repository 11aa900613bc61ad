import assert from 'node:assert/strict';
import { test } from 'node:test';

import { emptyJobsState } from '@paddlewind/domain/jobs';

import { ReportedInbox } from './reported-inbox.js';

// Jobs that were submitted while there was no leader would count as known to a leader, and be dropped by hosts that restart.
test('the last offset is repeated after a pause', () => {
  let readUpTo = 9;
  const state = { ...emptyJobsState(), inboxUpTo: 5 };
  const reported = new ReportedInbox({ state, nextOffset: () => readUpTo });
  const moments = [
    [10_000, 9, 5],
    [11_000, 12, 12],
    [12_000, 13, 13],
    [17_000, 20, 13],
    [18_000, 21, 21],
  ] as const;
  for (const [now, upTo, expected] of moments) {
    readUpTo = upTo;
    assert.equal(reported.next(now), expected, `at ${now}`);
  }
});
