import assert from 'node:assert/strict';
import test from 'node:test';

import {
  decodeBatch,
  seededRandom,
  type AppError,
  type Position,
  type StreamRecord,
} from '@paddlewind/domain';
import {
  createMemoryLog,
  createVirtualTime,
  type MemoryLog,
  type VirtualTime,
} from '@paddlewind/stand-ins';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import type { Result } from 'true-myth';

import type { PartContext } from '../parts.js';
import {
  createCommitter,
  type CommitterOptions,
  type StoppableCommitter,
} from './committer.js';
import { followStream } from './follower.js';

interface Fixture {
  readonly time: VirtualTime;
  readonly log: MemoryLog;
  readonly ctx: PartContext;
  readonly committer: StoppableCommitter;
}

function createFixture(options: Partial<CommitterOptions> = {}): Fixture {
  const time = createVirtualTime();
  const log = createMemoryLog(time);
  const ctx: PartContext = {
    ...time,
    random: seededRandom(1),
    log: pino({ level: 'silent' }),
    metrics: new Registry(),
  };
  return {
    time,
    log,
    ctx,
    committer: createCommitter({ log, ctx, ...options }),
  };
}

function record(id: string, body: unknown = {}, kind = 'test'): StreamRecord {
  return { id, kind, body };
}

/** Commits a record for each of `ids` and collects the results as they arrive. */
function commitAll(
  { committer, time }: Fixture,
  ids: readonly string[],
  timeoutMs = 10_000,
  stream = 's',
): Map<string, Result<Position, AppError>> {
  const answers = new Map<string, Result<Position, AppError>>();
  for (const id of ids) {
    void committer
      .commit(stream, record(id), time.clock() + timeoutMs)
      .then(answer => answers.set(id, answer));
  }
  return answers;
}

function idsIn(log: MemoryLog, stream = 's'): string[][] {
  return log.entries(stream).map(entry =>
    decodeBatch(entry.payload)
      .map(batch => batch.records.map(each => each.id))
      .unwrapOr([]),
  );
}

test('records that arrive during an append are batched in the next one', async () => {
  const fixture = createFixture();
  fixture.log.setDelay({ appendMs: 20 });
  const first = commitAll(fixture, ['a']);
  await fixture.time.advance(5);
  const later = commitAll(fixture, ['b', 'c', 'd']);
  await fixture.time.advance(100);
  assert.deepEqual(idsIn(fixture.log), [['a'], ['b', 'c', 'd']]);
  assert.deepEqual(first.get('a')?.unwrapOr(undefined), {
    offset: 0,
    index: 0,
  });
  assert.deepEqual(later.get('d')?.unwrapOr(undefined), {
    offset: 1,
    index: 2,
  });
});

test('a lost reply is settled by reading back, without a second append', async () => {
  const fixture = createFixture();
  fixture.log.loseAnswers(1);
  const answers = commitAll(fixture, ['a', 'b']);
  await fixture.time.until(() => answers.size === 2);
  assert.deepEqual(idsIn(fixture.log), [['a', 'b']]);
  assert.deepEqual(answers.get('b')?.unwrapOr(undefined), {
    offset: 0,
    index: 1,
  });
});

test('an append that had no effect is retried', async () => {
  const fixture = createFixture();
  fixture.log.dropAppends(3);
  const answers = commitAll(fixture, ['a']);
  await fixture.time.until(() => answers.size === 1);
  assert.deepEqual(idsIn(fixture.log), [['a']]);
  assert.equal(answers.get('a')?.isOk, true);
});

test('a record written by a delayed append is reported at its first position', async () => {
  const fixture = createFixture();
  fixture.log.lateEffects(1, 60);
  fixture.log.loseAnswers(1);
  const answers = commitAll(fixture, ['a']);
  await fixture.time.until(() => answers.size === 1);
  const first = idsIn(fixture.log).findIndex(ids => ids.includes('a'));
  assert.deepEqual(answers.get('a')?.unwrapOr(undefined), {
    offset: first,
    index: 0,
  });
});

test('the outcome is unknown only if an append may have taken effect', async () => {
  const fixture = createFixture();
  fixture.log.setOutage(true);
  const early = commitAll(fixture, ['never-sent'], 500);
  await fixture.time.until(() => early.size === 1);
  fixture.log.setOutage(false);
  await fixture.time.advance(10_000);
  fixture.log.loseAnswers(1);
  const lost = commitAll(fixture, ['lost'], 500);
  await fixture.time.advance(1);
  fixture.log.setOutage(true);
  await fixture.time.until(() => lost.size === 1);
  const answers = [early.get('never-sent'), lost.get('lost')];
  const outcomes = answers.map(answer => answer?.isErr && answer.error.outcome);
  assert.deepEqual(outcomes, ['not_run', 'unknown']);
  assert.deepEqual(idsIn(fixture.log), [['lost']]);
});

test('records beyond the queue limit are rejected immediately', async () => {
  const fixture = createFixture({ limits: { maxWaitingRecords: 2 } });
  fixture.log.setOutage(true);
  const answers = commitAll(fixture, ['a', 'b', 'c']);
  await fixture.time.advance(0);
  const refused = answers.get('c');
  assert.equal(refused?.isErr && refused.error.kind, 'overloaded');
  assert.equal(answers.size, 1);
});

test('batches are limited in records and bytes', async () => {
  const fixture = createFixture({
    limits: { maxBatchRecords: 3, maxBatchBytes: 120 },
  });
  commitAll(fixture, ['a', 'b', 'c', 'd']);
  await fixture.time.advance(1_000);
  assert.deepEqual(idsIn(fixture.log), [['a', 'b', 'c'], ['d']]);
  const large = fixture.committer.commit(
    's',
    record('large', 'x'.repeat(120)),
    fixture.time.clock() + 100,
  );
  const answer = await large;
  assert.equal(answer.isErr && answer.error.kind, 'too_large');
});

test('with a small budget, leases go first and snapshots last', async () => {
  const fixture = createFixture({ appendsPerSecond: 2 });
  commitAll(fixture, ['warm'], 60_000, 'warm');
  await fixture.time.advance(0);
  const order: string[] = [];
  const streams = ['snapshots', 'keys.r', 'config', 'decisions.z', 'leases.r'];
  for (const stream of streams) {
    void fixture.committer
      .commit(stream, record(stream), fixture.time.clock() + 60_000)
      .then(() => order.push(stream));
  }
  await fixture.time.until(() => order.length === streams.length);
  assert.deepEqual(order, streams.toReversed());
});

test('all records are written although the log refuses appends over its rate', async () => {
  const fixture = createFixture({ appendsPerSecond: 100 });
  fixture.log.limitAppends(10);
  const streams = Array.from({ length: 40 }, (_, i) => `s${i}`);
  const answers = streams.map(stream =>
    commitAll(fixture, ['a'], 60_000, stream),
  );
  await fixture.time.until(() => answers.every(answer => answer.size === 1));
  assert.ok(answers.every(answer => answer.get('a')?.isOk));
});

test('records wait or time out during an outage of an hour, and none is written twice', async () => {
  const fixture = createFixture();
  commitAll(fixture, ['before']);
  await fixture.time.advance(1_000);
  fixture.log.setOutage(true);
  const short = commitAll(fixture, ['short'], 30_000);
  const long = commitAll(fixture, ['long'], 2 * 3_600_000);
  await fixture.time.advance(3_600_000);
  assert.equal(short.get('short')?.isErr, true);
  fixture.log.setOutage(false);
  await fixture.time.until(() => long.size === 1, 20_000);
  assert.deepEqual(idsIn(fixture.log), [['before'], ['long']]);
});

test('stopping the committer fails the waiting records', async () => {
  const fixture = createFixture();
  fixture.log.setOutage(true);
  const answers = commitAll(fixture, ['a']);
  await fixture.time.advance(100);
  fixture.committer.stop();
  await fixture.time.advance(0);
  const answer = answers.get('a');
  assert.equal(answer?.isErr && answer.error.outcome, 'not_run');
});

test('followers skip duplicate records and malformed entries', async () => {
  const fixture = createFixture();
  await fixture.log.append('s', 'not JSON');
  commitAll(fixture, ['a']);
  await fixture.time.advance(10);
  commitAll(fixture, ['a', 'b']);
  const seen: string[] = [];
  const follower = followStream({
    log: fixture.log,
    stream: 's',
    from: 0,
    ctx: fixture.ctx,
    onBatch: records => seen.push(...records.map(each => each.id)),
  });
  await fixture.time.advance(100);
  assert.deepEqual(seen, ['a', 'b']);
  assert.equal(follower.caughtUp(), true);
  follower.stop();
});

test('a follower waits for an offset and stops at a newer record format', async () => {
  const fixture = createFixture();
  const follower = followStream({
    log: fixture.log,
    stream: 's',
    from: 0,
    ctx: fixture.ctx,
    onBatch: () => undefined,
  });
  const reached = follower.waitForOffset(1, fixture.time.clock() + 1_000);
  const late = follower.waitForOffset(9, fixture.time.clock() + 1_000);
  commitAll(fixture, ['a']);
  await fixture.time.advance(2_000);
  assert.equal((await reached).isOk, true);
  const timeout = await late;
  assert.equal(timeout.isErr && timeout.error.kind, 'timeout');
  await fixture.log.append('s', JSON.stringify({ format: 99, records: [] }));
  await fixture.time.advance(100);
  assert.equal(follower.failure()?.kind, 'unsupported_record');
  assert.equal(follower.caughtUp(), false);
});

test('a follower fails with log_trimmed if unread entries have expired', async () => {
  const fixture = createFixture();
  const follower = followStream({
    log: fixture.log,
    stream: 's',
    from: 0,
    ctx: fixture.ctx,
    onBatch: () => undefined,
  });
  await fixture.time.advance(10);
  fixture.log.setOutage(true);
  await fixture.time.advance(10);
  fixture.log.setOutage(false);
  await fixture.log.append('s', '{}');
  fixture.log.trim('s', 1);
  await fixture.time.advance(20_000);
  assert.equal(follower.failure()?.kind, 'log_trimmed');
});
