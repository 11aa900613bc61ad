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

interface Bed {
  readonly time: VirtualTime;
  readonly log: MemoryLog;
  readonly ctx: PartContext;
  readonly committer: StoppableCommitter;
}

function bed(options: Partial<CommitterOptions> = {}): Bed {
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

/** Commits and keeps the answer for inspection. */
function commits(
  { committer, time }: Bed,
  ids: readonly string[],
  span = 10_000,
  stream = 's',
): Map<string, Result<Position, AppError>> {
  const answers = new Map<string, Result<Position, AppError>>();
  for (const id of ids) {
    void committer
      .commit(stream, record(id), time.clock() + span)
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

test('records that arrive during an append go together in the next', async () => {
  const rig = bed();
  rig.log.setDelay({ appendMs: 20 });
  const first = commits(rig, ['a']);
  await rig.time.advance(5);
  const later = commits(rig, ['b', 'c', 'd']);
  await rig.time.advance(100);
  assert.deepEqual(idsIn(rig.log), [['a'], ['b', 'c', 'd']]);
  assert.deepEqual(first.get('a')?.unwrapOr(undefined), {
    offset: 0,
    index: 0,
  });
  assert.deepEqual(later.get('d')?.unwrapOr(undefined), {
    offset: 1,
    index: 2,
  });
});

test('a lost answer is settled by reading, without a second append', async () => {
  const rig = bed();
  rig.log.loseAnswers(1);
  const answers = commits(rig, ['a', 'b']);
  await rig.time.until(() => answers.size === 2);
  assert.deepEqual(idsIn(rig.log), [['a', 'b']]);
  assert.deepEqual(answers.get('b')?.unwrapOr(undefined), {
    offset: 0,
    index: 1,
  });
});

test('an append without effect is repeated', async () => {
  const rig = bed();
  rig.log.dropAppends(3);
  const answers = commits(rig, ['a']);
  await rig.time.until(() => answers.size === 1);
  assert.deepEqual(idsIn(rig.log), [['a']]);
  assert.equal(answers.get('a')?.isOk, true);
});

test('an append that lands late is found at its first place', async () => {
  const rig = bed();
  rig.log.lateEffects(1, 60);
  rig.log.loseAnswers(1);
  const answers = commits(rig, ['a']);
  await rig.time.until(() => answers.size === 1);
  const first = idsIn(rig.log).findIndex(ids => ids.includes('a'));
  assert.deepEqual(answers.get('a')?.unwrapOr(undefined), {
    offset: first,
    index: 0,
  });
});

test('outcome is unknown only when an append may have taken effect', async () => {
  const rig = bed();
  rig.log.setOutage(true);
  const early = commits(rig, ['never-sent'], 500);
  await rig.time.until(() => early.size === 1);
  rig.log.setOutage(false);
  await rig.time.advance(10_000);
  rig.log.loseAnswers(1);
  const lost = commits(rig, ['lost'], 500);
  await rig.time.advance(1);
  rig.log.setOutage(true);
  await rig.time.until(() => lost.size === 1);
  const answers = [early.get('never-sent'), lost.get('lost')];
  const outcomes = answers.map(answer => answer?.isErr && answer.error.outcome);
  assert.deepEqual(outcomes, ['not_run', 'unknown']);
  assert.deepEqual(idsIn(rig.log), [['lost']]);
});

test('too many waiting records are refused at once', async () => {
  const rig = bed({ limits: { maxWaitingRecords: 2 } });
  rig.log.setOutage(true);
  const answers = commits(rig, ['a', 'b', 'c']);
  await rig.time.advance(0);
  const refused = answers.get('c');
  assert.equal(refused?.isErr && refused.error.kind, 'overloaded');
  assert.equal(answers.size, 1);
});

test('batches are bounded in records and bytes', async () => {
  const rig = bed({ limits: { maxBatchRecords: 3, maxBatchBytes: 120 } });
  commits(rig, ['a', 'b', 'c', 'd']);
  await rig.time.advance(1_000);
  assert.deepEqual(idsIn(rig.log), [['a', 'b', 'c'], ['d']]);
  const large = rig.committer.commit(
    's',
    record('large', 'x'.repeat(120)),
    rig.time.clock() + 100,
  );
  const answer = await large;
  assert.equal(answer.isErr && answer.error.kind, 'too_large');
});

test('under a scarce budget leases go first and snapshots last', async () => {
  const rig = bed({ appendsPerSecond: 2 });
  commits(rig, ['warm'], 60_000, 'warm');
  await rig.time.advance(0);
  const order: string[] = [];
  const streams = ['snapshots', 'keys.r', 'config', 'decisions.z', 'leases.r'];
  for (const stream of streams) {
    void rig.committer
      .commit(stream, record(stream), rig.time.clock() + 60_000)
      .then(() => order.push(stream));
  }
  await rig.time.until(() => order.length === streams.length);
  assert.deepEqual(order, streams.toReversed());
});

test('refusals of the log lower the budget, and everything still lands', async () => {
  const rig = bed({ appendsPerSecond: 100 });
  rig.log.limitAppends(10);
  const streams = Array.from({ length: 40 }, (_, i) => `s${i}`);
  const answers = streams.map(stream => commits(rig, ['a'], 60_000, stream));
  await rig.time.until(() => answers.every(answer => answer.size === 1));
  assert.ok(answers.every(answer => answer.get('a')?.isOk));
});

test('an hour of outage: records wait or are refused, and nothing doubles', async () => {
  const rig = bed();
  commits(rig, ['before']);
  await rig.time.advance(1_000);
  rig.log.setOutage(true);
  const short = commits(rig, ['short'], 30_000);
  const long = commits(rig, ['long'], 2 * 3_600_000);
  await rig.time.advance(3_600_000);
  assert.equal(short.get('short')?.isErr, true);
  rig.log.setOutage(false);
  await rig.time.until(() => long.size === 1, 20_000);
  assert.deepEqual(idsIn(rig.log), [['before'], ['long']]);
});

test('stopping answers what waits', async () => {
  const rig = bed();
  rig.log.setOutage(true);
  const answers = commits(rig, ['a']);
  await rig.time.advance(100);
  rig.committer.stop();
  await rig.time.advance(0);
  const answer = answers.get('a');
  assert.equal(answer?.isErr && answer.error.outcome, 'not_run');
});

test('followers take the first of repeated records and skip malformed entries', async () => {
  const rig = bed();
  await rig.log.append('s', 'not JSON');
  commits(rig, ['a']);
  await rig.time.advance(10);
  commits(rig, ['a', 'b']);
  const seen: string[] = [];
  const follower = followStream({
    log: rig.log,
    stream: 's',
    from: 0,
    ctx: rig.ctx,
    onBatch: records => seen.push(...records.map(each => each.id)),
  });
  await rig.time.advance(100);
  assert.deepEqual(seen, ['a', 'b']);
  assert.equal(follower.caughtUp(), true);
  follower.stop();
});

test('a follower waits for an offset, and stops at a newer format', async () => {
  const rig = bed();
  const follower = followStream({
    log: rig.log,
    stream: 's',
    from: 0,
    ctx: rig.ctx,
    onBatch: () => undefined,
  });
  const reached = follower.reach(1, rig.time.clock() + 1_000);
  const late = follower.reach(9, rig.time.clock() + 1_000);
  commits(rig, ['a']);
  await rig.time.advance(2_000);
  assert.equal((await reached).isOk, true);
  const timeout = await late;
  assert.equal(timeout.isErr && timeout.error.kind, 'timeout');
  await rig.log.append('s', JSON.stringify({ format: 99, records: [] }));
  await rig.time.advance(100);
  assert.equal(follower.failure()?.kind, 'unsupported_record');
  assert.equal(follower.caughtUp(), false);
});

test('a follower that fell behind retention says so', async () => {
  const rig = bed();
  const follower = followStream({
    log: rig.log,
    stream: 's',
    from: 0,
    ctx: rig.ctx,
    onBatch: () => undefined,
  });
  await rig.time.advance(10);
  rig.log.setOutage(true);
  await rig.time.advance(10);
  rig.log.setOutage(false);
  await rig.log.append('s', '{}');
  rig.log.trim('s', 1);
  await rig.time.advance(20_000);
  assert.equal(follower.failure()?.kind, 'log_trimmed');
});
