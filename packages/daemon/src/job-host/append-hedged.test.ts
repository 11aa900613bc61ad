import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createVirtualTime } from '@paddlewind/stand-ins';
import type { AppendResult } from '@paddlewind/ports/jobs';

import { appendHedged } from './append-hedged.js';
import { testContext } from './context.fixture.test.js';

const EVERY_MS = 450;
const APPENDED: AppendResult = { kind: 'appended', offset: 0, nextOffset: 1 };
const UNKNOWN: AppendResult = { kind: 'unknown', reason: 'reset' };
const REFUSED: AppendResult = { kind: 'refused', reason: 'busy' };

/**
 * Starts an append whose attempts end as `attempts` says, each after the given time; later attempts
 * never end.
 */
function startAppend(
  attempts: readonly (readonly [number, AppendResult])[],
  stoppedAt = Infinity,
): {
  time: ReturnType<typeof createVirtualTime>;
  sent: () => number;
  outcome: () => AppendResult | undefined;
} {
  const time = createVirtualTime();
  let sent = 0;
  let outcome: AppendResult | undefined;
  const append = (): Promise<AppendResult> =>
    new Promise(resolve => {
      const attempt = attempts[sent];
      sent += 1;
      if (attempt !== undefined) {
        time.schedule(attempt[0], () => {
          resolve(attempt[1]);
        });
      }
    });
  const stopped = (): boolean => time.clock() >= stoppedAt;
  const options = { everyMs: EVERY_MS, stopped };
  void appendHedged(testContext(time), append, options).then(result => {
    outcome = result;
  });
  return { time, sent: () => sent, outcome: () => outcome };
}

test('an append that is answered in time is sent once', async () => {
  const { time, sent, outcome } = startAppend([[10, APPENDED]]);
  await time.advance(1_000);
  assert.deepEqual(outcome(), APPENDED);
  assert.equal(sent(), 1);
});

test('one answered attempt settles an append whose other attempts are silent', async () => {
  const { time, outcome } = startAppend([
    [5_000, UNKNOWN],
    [10, APPENDED],
  ]);
  await time.advance(500);
  assert.deepEqual(outcome(), APPENDED);
});

test('an append that was fenced by another leader reports that', async () => {
  const { time, outcome } = startAppend([
    [5_000, UNKNOWN],
    [10, { kind: 'fenced' }],
  ]);
  await time.advance(500);
  assert.deepEqual(outcome(), { kind: 'fenced' });
});

test('a refused append reports that at once', async () => {
  const { time, sent, outcome } = startAppend([[10, REFUSED]]);
  await time.advance(100);
  assert.deepEqual(outcome(), REFUSED);
  assert.equal(sent(), 1);
});

test('an append is not reported as refused if one attempt may have succeeded', async () => {
  const { time, outcome } = startAppend([
    [500, UNKNOWN],
    [100, REFUSED],
  ]);
  await time.advance(1_000);
  assert.equal(outcome()?.kind, 'unknown');
});

test('the number of attempts in flight is limited', async () => {
  const { time, sent } = startAppend([]);
  await time.advance(10_000);
  assert.equal(sent(), 4);
});

test('a stopped append is not sent again', async () => {
  const { time, sent, outcome } = startAppend([[1_500, UNKNOWN]], 100);
  await time.advance(10_000);
  assert.equal(sent(), 1);
  assert.equal(outcome()?.kind, 'unknown');
});
