import assert from 'node:assert/strict';
import { test } from 'node:test';

import { refOf } from '@paddlewind/domain/jobs';

import {
  openLink,
  ORDERED_WORKER,
  StubWorkerSite,
} from './orders.fixture.test.js';
import { SLOW_WORKER_PAUSE_MS } from './timing.js';

/** Below the timeout of an order. */
const SLOW_MS = 400;

test('a worker at which a start waited for too long rests', async () => {
  const site = new StubWorkerSite(5);
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

test('a worker that answers all starts in time does not rest', async () => {
  const site = new StubWorkerSite(4);
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

// A worker that has started again forgot ends that nobody had seen: it was told the position of the start before.
test('over a new connection a look asks who is there before it says anything', async () => {
  const site = new StubWorkerSite(2);
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
  const told = site.polls.at(-1);
  assert.equal(told?.acknowledged, 7);
  assert.notEqual(told.leaseUntil, undefined);
  site.connected = false;
  const before = site.polls.length;
  await site.time.until(() => site.polls.length >= before + 2, 5_000);
  const [asked, next] = site.polls.slice(before);
  assert.equal(asked?.acknowledged, 0);
  assert.equal(asked.leaseUntil, undefined);
  assert.equal(asked.waitMs, 0);
  assert.equal(next?.acknowledged, 7);
  assert.notEqual(next.leaseUntil, undefined);
  link.close();
});

const STARTED = { ...ORDERED_WORKER, id: 'w@1700' };

test('a worker that tells its start in its entry alone is used', async () => {
  const site = new StubWorkerSite(1);
  const link = await openLink(site, STARTED);
  assert.ok(link.usable);
  link.close();
});

// What tells no start may be anything that listens at the address of a worker that has always told it.
test('an answer without a start is none of a worker that has told it', async () => {
  const site = new StubWorkerSite(1);
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

test('another start that answers has replaced the one that was looked at, whatever its number', async () => {
  for (const startedAt of [1_600, 1_800]) {
    const site = new StubWorkerSite(1);
    site.startedAt = startedAt;
    await openLink(site, STARTED);
    assert.deepEqual(site.replacedBy, [`w@${startedAt}`]);
  }
});
