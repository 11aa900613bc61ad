import assert from 'node:assert/strict';
import test from 'node:test';

import type { Check } from './check.js';
import { isBroken, judge, renderVerdicts } from './verdict.js';
import type { History } from './history.js';

const HISTORY: History = [
  { at: 1_000, type: 'job_canceled', job: 'a' },
  { at: 1_002, type: 'job_canceled', job: 'b' },
];

function checkThat(violations: readonly History[], checked = 2): Check {
  return {
    name: 'sample',
    promise: 'Nothing is canceled.',
    cases: 'cancellations',
    check: () => ({
      checked,
      violations: violations.map(events => ({ message: 'canceled', events })),
    }),
  };
}

test('the shortest offending history is printed', () => {
  const check = checkThat([HISTORY, HISTORY.slice(1)]);
  const verdicts = judge(HISTORY, [check]);
  assert.ok(isBroken(verdicts));
  assert.deepEqual(renderVerdicts(verdicts, HISTORY), [
    'sample: BROKEN, 2 of 2 cancellations. Nothing is canceled.',
    '  canceled:',
    '  2.0 ms job_canceled {"job":"b"}',
  ]);
});

test('a promise without a case is told apart from one that held', () => {
  const lines = (checked: number) =>
    renderVerdicts(judge(HISTORY, [checkThat([], checked)]), HISTORY);
  assert.deepEqual(lines(0), ['sample: not tried (0 cancellations)']);
  assert.deepEqual(lines(2), ['sample: held (2 cancellations)']);
});
