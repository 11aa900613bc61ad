import assert from 'node:assert/strict';
import { test } from 'node:test';

import { refOf } from '@paddlewind/domain/jobs';

import {
  openLink,
  ORDERED_WORKER,
  StubWorker,
} from './stub-worker.fixture.test.js';
import { SLOW_WORKER_PAUSE_MS } from './timing.js';

/** Below the timeout of an order. */
const SLOW_MS = 400;

test('a worker at which a start waited too long is assigned no runs for a while', async () => {
  const stub = new StubWorker(5);
  const link = await openLink(stub);
  assert.ok(link.usable);
  stub.answerMs = SLOW_MS;
  for (let index = 0; index < 5; index += 1) {
    link.start(stub.open(index), stub.time.clock());
  }
  await stub.time.until(() => stub.ended.length > 0, 5_000);
  assert.ok(!link.usable);
  await stub.time.advance(SLOW_WORKER_PAUSE_MS - 1);
  assert.ok(!link.usable);
  await stub.time.advance(1);
  assert.ok(link.usable);
});

test('a worker that answers all starts in time is not paused', async () => {
  const stub = new StubWorker(4);
  const link = await openLink(stub);
  stub.answerMs = SLOW_MS;
  for (let index = 0; index < 4; index += 1) {
    link.start(stub.open(index), stub.time.clock());
  }
  for (let at = 0; at < 3_000; at += 50) {
    await stub.time.advance(50);
    assert.ok(link.usable);
  }
  assert.deepEqual(stub.ended, []);
});

// A restarted worker dropped ends that nobody had seen, because it was sent a position of its previous
// incarnation.
test('over a new connection a poll only identifies the worker first', async () => {
  const stub = new StubWorker(2);
  const link = await openLink(stub);
  const run = stub.open(0);
  link.start(run, stub.time.clock());
  stub.listed.push({
    position: 7,
    task: refOf(run.task),
    run: 1,
    how: 'done',
    checkpoint: '',
  });
  link.start(stub.open(1), stub.time.clock());
  await stub.time.advance(3_000);
  const last = stub.polls.at(-1);
  assert.equal(last?.acknowledged, 7);
  assert.notEqual(last.leaseUntil, undefined);
  stub.connected = false;
  const before = stub.polls.length;
  await stub.time.until(() => stub.polls.length >= before + 2, 5_000);
  const [probe, next] = stub.polls.slice(before);
  assert.equal(probe?.acknowledged, 0);
  assert.equal(probe.leaseUntil, undefined);
  assert.equal(probe.waitMs, 0);
  assert.equal(next?.acknowledged, 7);
  assert.notEqual(next.leaseUntil, undefined);
  link.close();
});

const STARTED = { ...ORDERED_WORKER, id: 'w@1700' };

test('a worker that reports its start time only in its registry entry is used', async () => {
  const stub = new StubWorker(1);
  const link = await openLink(stub, STARTED);
  assert.ok(link.usable);
  link.close();
});

// An answer without a start time may come from anything that listens at the address of a worker that has
// always reported it.
test('an answer without a start time is not from a worker that has reported it before', async () => {
  const stub = new StubWorker(1);
  stub.startedAt = 1_700;
  const link = await openLink(stub, STARTED);
  assert.ok(link.usable);
  stub.startedAt = undefined;
  link.start(stub.open(0, STARTED.id), stub.time.clock());
  await stub.time.advance(1_500);
  assert.ok(!link.usable);
  assert.deepEqual(stub.replacedBy, []);
  link.close();
});

test('another incarnation that answers replaces the polled one, whatever its start time', async () => {
  for (const startedAt of [1_600, 1_800]) {
    const stub = new StubWorker(1);
    stub.startedAt = startedAt;
    await openLink(stub, STARTED);
    assert.deepEqual(stub.replacedBy, [`w@${startedAt}`]);
  }
});
