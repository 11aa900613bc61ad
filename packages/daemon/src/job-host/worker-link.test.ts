import assert from 'node:assert/strict';
import { test } from 'node:test';

import { refOf } from '@paddlewind/domain/jobs';

import { openLink, ORDERED_WORKER, StubWorker } from './orders.fixture.test.js';
import { SLOW_WORKER_PAUSE_MS } from './timing.js';

/** Below the timeout of an order. */
const SLOW_MS = 400;

test('a worker at which a start waited too long is assigned no runs for a while', async () => {
  const site = new StubWorker(5);
  const link = await openLink(site);
  assert.ok(link.usable);
  site.answerMs = SLOW_MS;
  for (let index = 0; index < 5; index += 1) {
    link.start(site.open(index), site.time.clock());
  }
  await site.time.until(() => site.ended.length > 0, 5_000);
  assert.ok(!link.usable);
  await site.time.advance(SLOW_WORKER_PAUSE_MS - 1);
  assert.ok(!link.usable);
  await site.time.advance(1);
  assert.ok(link.usable);
});

test('a worker that answers all starts in time is not paused', async () => {
  const site = new StubWorker(4);
  const link = await openLink(site);
  site.answerMs = SLOW_MS;
  for (let index = 0; index < 4; index += 1) {
    link.start(site.open(index), site.time.clock());
  }
  for (let at = 0; at < 3_000; at += 50) {
    await site.time.advance(50);
    assert.ok(link.usable);
  }
  assert.deepEqual(site.ended, []);
});

// A restarted worker dropped ends that nobody had seen, because it was sent a position of its previous
// incarnation.
test('over a new connection a poll only identifies the worker first', async () => {
  const site = new StubWorker(2);
  const link = await openLink(site);
  const run = site.open(0);
  link.start(run, site.time.clock());
  site.listed.push({
    position: 7,
    task: refOf(run.task),
    run: 1,
    how: 'done',
    checkpoint: '',
  });
  link.start(site.open(1), site.time.clock());
  await site.time.advance(3_000);
  const last = site.polls.at(-1);
  assert.equal(last?.acknowledged, 7);
  assert.notEqual(last.leaseUntil, undefined);
  site.connected = false;
  const before = site.polls.length;
  await site.time.until(() => site.polls.length >= before + 2, 5_000);
  const [probe, next] = site.polls.slice(before);
  assert.equal(probe?.acknowledged, 0);
  assert.equal(probe.leaseUntil, undefined);
  assert.equal(probe.waitMs, 0);
  assert.equal(next?.acknowledged, 7);
  assert.notEqual(next.leaseUntil, undefined);
  link.close();
});

const STARTED = { ...ORDERED_WORKER, id: 'w@1700' };

test('a worker that reports its start time only in its registry entry is used', async () => {
  const site = new StubWorker(1);
  const link = await openLink(site, STARTED);
  assert.ok(link.usable);
  link.close();
});

// An answer without a start time may come from anything that listens at the address of a worker that has
// always reported it.
test('an answer without a start time is not from a worker that has reported it before', async () => {
  const site = new StubWorker(1);
  site.startedAt = 1_700;
  const link = await openLink(site, STARTED);
  assert.ok(link.usable);
  site.startedAt = undefined;
  link.start(site.open(0, STARTED.id), site.time.clock());
  await site.time.advance(1_500);
  assert.ok(!link.usable);
  assert.deepEqual(site.replacedBy, []);
  link.close();
});

test('another incarnation that answers replaces the polled one, whatever its start time', async () => {
  for (const startedAt of [1_600, 1_800]) {
    const site = new StubWorker(1);
    site.startedAt = startedAt;
    await openLink(site, STARTED);
    assert.deepEqual(site.replacedBy, [`w@${startedAt}`]);
  }
});
