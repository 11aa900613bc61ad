import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ORDERED_WORKER, OrderedRuns } from './orders.fixture.test.js';
import type { StartResult } from './relay/start-sender.js';
import { MAX_START_WAIT_MS } from './timing.js';
import { WorkerOrders } from './worker-orders.js';

/** Below the timeout of an order. */
const SLOW_MS = 400;

interface Told {
  slow: number;
}

/** Orders to the worker of `site`, and how often it was told to be slow. */
function ordersTo(site: OrderedRuns): { orders: WorkerOrders; told: Told } {
  const told: Told = { slow: 0 };
  const orders = new WorkerOrders({
    ctx: site.ctx,
    port: site.port,
    starts: site.starts,
    fence: 1,
    info: () => ORDERED_WORKER,
    mayStart: () => true,
    extendLease: now => now + 5_000,
    inboxAgeMs: () => 0,
    registryAgeMs: () => 0,
    ticketFor: () => undefined,
    events: {
      ended: site.end,
      fenced: () => undefined,
      ticketRefused: () => undefined,
      began: () => undefined,
      started: () => undefined,
      unanswered: () => undefined,
      slow: () => {
        told.slow += 1;
      },
      replaced: () => undefined,
      stopConfirmed: () => undefined,
    },
  });
  return { orders, told };
}

test('a start that waits is not sent once its job is cancelled', async () => {
  const site = new OrderedRuns(2);
  const { orders } = ordersTo(site);
  site.answerMs = SLOW_MS;
  orders.start(site.open(0), site.time.clock());
  orders.start(site.open(1), site.time.clock());
  await site.time.advance(100);
  site.cancel();
  await site.time.advance(5_000);
  assert.deepEqual(site.sent, ['start 0#1']);
  assert.deepEqual(site.ended, ['1#1 void']);
});

test('a start that waits is not sent once its job has failed', async () => {
  const site = new OrderedRuns(2);
  const { orders } = ordersTo(site);
  site.end(site.open(0), 'failed');
  site.end(site.open(0), 'failed');
  const last = site.open(0);
  site.answerMs = SLOW_MS;
  orders.start(last, site.time.clock());
  orders.start(site.open(1), site.time.clock());
  await site.time.advance(100);
  site.end(last, 'failed');
  await site.time.advance(5_000);
  assert.deepEqual(site.sent, ['start 0#3']);
  assert.equal(site.ended.at(-1), '1#1 void');
});

test('a start that waits is not sent once a copy of its task is done', async () => {
  const site = new OrderedRuns(2, { speculative: true });
  const { orders } = ordersTo(site);
  const first = site.open(0);
  site.answerMs = SLOW_MS;
  orders.start(first, site.time.clock());
  orders.start(site.open(0), site.time.clock());
  await site.time.advance(100);
  site.end(first, 'done');
  await site.time.advance(5_000);
  assert.deepEqual(site.sent, ['start 0#1']);
  assert.deepEqual(site.ended, ['0#1 done', '0#2 void']);
});

test('a stop takes back a start that waits', async () => {
  const site = new OrderedRuns(2);
  const { orders } = ordersTo(site);
  const waiting = site.open(1);
  site.answerMs = SLOW_MS;
  orders.start(site.open(0), site.time.clock());
  orders.start(waiting, site.time.clock());
  await site.time.advance(100);
  orders.stop(waiting);
  assert.deepEqual(site.ended, ['1#1 void']);
  await site.time.advance(5_000);
  assert.deepEqual(site.sent, ['start 0#1']);
});

test('a stop takes back no start but that of its run', async () => {
  const site = new OrderedRuns(3);
  const { orders } = ordersTo(site);
  const taken = site.open(1);
  site.answerMs = SLOW_MS;
  orders.start(site.open(0), site.time.clock());
  orders.start(taken, site.time.clock());
  orders.start(site.open(2), site.time.clock());
  await site.time.advance(100);
  orders.stop(taken);
  await site.time.advance(5_000);
  assert.deepEqual(site.sent, ['start 0#1', 'start 2#1']);
});

test('a stop is sent for a start that was sent', async () => {
  const site = new OrderedRuns(1);
  const { orders } = ordersTo(site);
  const run = site.open(0);
  site.answerMs = SLOW_MS;
  orders.start(run, site.time.clock());
  await site.time.advance(100);
  orders.stop(run);
  await site.time.advance(5_000);
  assert.deepEqual(site.sent, ['start 0#1', 'stop 0#1']);
  assert.deepEqual(site.ended, []);
});

test('a start that has waited for too long is not sent', async () => {
  const site = new OrderedRuns(5);
  const { orders, told } = ordersTo(site);
  site.answerMs = SLOW_MS;
  for (let index = 0; index < 5; index += 1) {
    orders.start(site.open(index), site.time.clock());
  }
  await site.time.advance(5_000);
  const sent = ['start 0#1', 'start 1#1', 'start 2#1', 'start 3#1'];
  assert.deepEqual(site.sent, sent);
  assert.deepEqual(site.ended, ['4#1 void']);
  assert.equal(told.slow, 1);
});

test('a start that was late before its order was given tells nothing of the worker', async () => {
  const site = new OrderedRuns(1);
  const { orders, told } = ordersTo(site);
  orders.start(site.open(0), site.time.clock() - MAX_START_WAIT_MS - 1);
  await site.time.advance(5_000);
  assert.deepEqual(site.sent, []);
  assert.deepEqual(site.ended, ['0#1 void']);
  assert.equal(told.slow, 0);
});

test('of several limits that wait only the newest is sent', async () => {
  const site = new OrderedRuns(2);
  const { orders } = ordersTo(site);
  const run = site.open(0);
  orders.start(run, site.time.clock());
  await site.time.advance(100);
  site.answerMs = SLOW_MS;
  orders.start(site.open(1), site.time.clock());
  await site.time.advance(100);
  for (const percent of [50, 40, 30]) {
    orders.throttle(run, percent);
  }
  await site.time.advance(5_000);
  assert.deepEqual(site.sent, ['start 0#1', 'start 1#1', 'throttle 0#1 30']);
  assert.equal(run.progress?.allowedPercent, 30);
});

test('a limit that was not answered is not taken to be in force', async () => {
  const site = new OrderedRuns(1);
  const { orders } = ordersTo(site);
  const run = site.open(0);
  orders.start(run, site.time.clock());
  await site.time.advance(100);
  site.answer = { kind: 'unknown', reason: 'timeout' };
  orders.throttle(run, 0);
  await site.time.advance(100);
  assert.ok(run.progress);
  assert.equal(run.progress.allowedPercent, undefined);
});

test('a newer limit is sent though the one before was not answered', async () => {
  const site = new OrderedRuns(1);
  const { orders } = ordersTo(site);
  const run = site.open(0);
  orders.start(run, site.time.clock());
  await site.time.advance(100);
  site.answerMs = SLOW_MS;
  site.answer = { kind: 'unknown', reason: 'timeout' };
  orders.throttle(run, 0);
  await site.time.advance(100);
  site.answer = { kind: 'accepted', clock: 0 };
  orders.throttle(run, 20);
  await site.time.advance(5_000);
  const sent = ['start 0#1', 'throttle 0#1 0', 'throttle 0#1 20'];
  assert.deepEqual(site.sent, sent);
  assert.equal(run.progress?.allowedPercent, 20);
});

test('limits that change all the time leave starts a turn', async () => {
  const site = new OrderedRuns(3);
  const { orders } = ordersTo(site);
  const fillers = [site.open(0), site.open(1)];
  for (const run of fillers) {
    orders.start(run, site.time.clock());
  }
  await site.time.advance(100);
  site.answerMs = 250;
  for (let at = 0; at < 30; at += 1) {
    for (const run of fillers) {
      orders.throttle(run, 50 + (at % 2));
    }
    if (at === 0) {
      orders.start(site.open(2), site.time.clock());
    }
    await site.time.advance(350);
  }
  assert.ok(site.sent.includes('start 2#1'), site.sent.join());
});

/** Orders whose starts end as `result` tells. */
function startedAs(result: StartResult): OrderedRuns {
  const site = new OrderedRuns(1);
  site.starts.send = () => {
    site.sent.push('start');
    return Promise.resolve(result);
  };
  const { orders } = ordersTo(site);
  orders.start(site.open(0), site.time.clock());
  return site;
}

// A run that another host may have begun is stopped: taken for one that never began, its task would run twice.
test('a run that may have begun elsewhere is stopped before it is given up', async () => {
  const site = startedAs({ kind: 'unsure', reason: 'superseded' });
  await site.time.advance(100);
  assert.deepEqual(site.sent, ['start', 'stop 0#1']);
  assert.deepEqual(site.ended, []);
});

test('a start that was sent nowhere is given up at once', async () => {
  const site = startedAs({ kind: 'not_wanted' });
  await site.time.advance(100);
  assert.deepEqual(site.sent, ['start']);
  assert.deepEqual(site.ended, ['0#1 void']);
});
