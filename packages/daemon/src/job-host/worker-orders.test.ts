import assert from 'node:assert/strict';
import { test } from 'node:test';

import { EvacuatedZones } from './evacuated-zones.js';
import { ORDERED_WORKER, StubWorker } from './stub-worker.fixture.test.js';
import type { StartResult } from './relay/start-sender.js';
import { MAX_START_WAIT_MS } from './timing.js';
import { WorkerOrders } from './worker-orders.js';

/** Below the timeout of an order. */
const SLOW_MS = 400;

interface SlowReports {
  slow: number;
  expired: number;
}

/** Returns orders to the worker of `stub`, and a count of how often it was reported as slow. */
function ordersTo(stub: StubWorker): {
  orders: WorkerOrders;
  reports: SlowReports;
  evacuatedZones: EvacuatedZones;
} {
  const evacuatedZones = new EvacuatedZones(stub.ctx, undefined);
  const reports: SlowReports = { slow: 0, expired: 0 };
  const orders = new WorkerOrders({
    ctx: stub.ctx,
    port: stub.port,
    starts: stub.starts,
    fence: 1,
    info: () => ORDERED_WORKER,
    mayStart: () => true,
    extendLease: now => now + 5_000,
    inboxAgeMs: () => 0,
    registryAgeMs: () => 0,
    evacuatedZones,
    ticketFor: () => undefined,
    events: {
      ended: stub.end,
      fenced: () => undefined,
      ticketRefused: () => undefined,
      runStarted: () => undefined,
      startConfirmed: () => undefined,
      unanswered: () => undefined,
      startExpired: () => {
        reports.expired += 1;
      },
      slow: () => {
        reports.slow += 1;
      },
      replaced: () => undefined,
      stopConfirmed: () => undefined,
    },
  });
  return { orders, reports, evacuatedZones };
}

test('a queued start is not sent once its job is cancelled', async () => {
  const stub = new StubWorker(2);
  const { orders } = ordersTo(stub);
  stub.answerMs = SLOW_MS;
  orders.start(stub.open(0), stub.time.clock());
  orders.start(stub.open(1), stub.time.clock());
  await stub.time.advance(100);
  stub.cancel();
  await stub.time.advance(5_000);
  assert.deepEqual(stub.sent, ['start 0#1']);
  assert.deepEqual(stub.ended, ['1#1 void']);
});

test('a queued start is not sent once its job has failed', async () => {
  const stub = new StubWorker(2);
  const { orders } = ordersTo(stub);
  stub.end(stub.open(0), 'failed');
  stub.end(stub.open(0), 'failed');
  const last = stub.open(0);
  stub.answerMs = SLOW_MS;
  orders.start(last, stub.time.clock());
  orders.start(stub.open(1), stub.time.clock());
  await stub.time.advance(100);
  stub.end(last, 'failed');
  await stub.time.advance(5_000);
  assert.deepEqual(stub.sent, ['start 0#3']);
  assert.equal(stub.ended.at(-1), '1#1 void');
});

test('a queued start is not sent once a copy of its task is done', async () => {
  const stub = new StubWorker(2, { speculative: true });
  const { orders } = ordersTo(stub);
  const first = stub.open(0);
  stub.answerMs = SLOW_MS;
  orders.start(first, stub.time.clock());
  orders.start(stub.open(0), stub.time.clock());
  await stub.time.advance(100);
  stub.end(first, 'done');
  await stub.time.advance(5_000);
  assert.deepEqual(stub.sent, ['start 0#1']);
  assert.deepEqual(stub.ended, ['0#1 done', '0#2 void']);
});

test('a queued start is not sent once the zone of its worker is evacuated', async () => {
  const stub = new StubWorker(2);
  const { orders, evacuatedZones } = ordersTo(stub);
  stub.answerMs = SLOW_MS;
  orders.start(stub.open(0), stub.time.clock());
  orders.start(stub.open(1), stub.time.clock());
  await stub.time.advance(100);
  const { availabilityZone } = ORDERED_WORKER;
  evacuatedZones.apply([{ availabilityZone, offset: 1 }], stub.time.clock());
  await stub.time.advance(5_000);
  assert.deepEqual(stub.sent, ['start 0#1']);
  assert.deepEqual(stub.ended, ['1#1 void']);
});

test('a stop withdraws a queued start', async () => {
  const stub = new StubWorker(2);
  const { orders } = ordersTo(stub);
  const waiting = stub.open(1);
  stub.answerMs = SLOW_MS;
  orders.start(stub.open(0), stub.time.clock());
  orders.start(waiting, stub.time.clock());
  await stub.time.advance(100);
  orders.stop(waiting);
  assert.deepEqual(stub.ended, ['1#1 void']);
  await stub.time.advance(5_000);
  assert.deepEqual(stub.sent, ['start 0#1']);
});

test('a stop withdraws only the start of its own run', async () => {
  const stub = new StubWorker(3);
  const { orders } = ordersTo(stub);
  const withdrawn = stub.open(1);
  stub.answerMs = SLOW_MS;
  orders.start(stub.open(0), stub.time.clock());
  orders.start(withdrawn, stub.time.clock());
  orders.start(stub.open(2), stub.time.clock());
  await stub.time.advance(100);
  orders.stop(withdrawn);
  await stub.time.advance(5_000);
  assert.deepEqual(stub.sent, ['start 0#1', 'start 2#1']);
});

test('a stop is sent for a start that was sent', async () => {
  const stub = new StubWorker(1);
  const { orders } = ordersTo(stub);
  const run = stub.open(0);
  stub.answerMs = SLOW_MS;
  orders.start(run, stub.time.clock());
  await stub.time.advance(100);
  orders.stop(run);
  await stub.time.advance(5_000);
  assert.deepEqual(stub.sent, ['start 0#1', 'stop 0#1']);
  assert.deepEqual(stub.ended, []);
});

test('a start that has waited too long is not sent', async () => {
  const stub = new StubWorker(5);
  const { orders, reports } = ordersTo(stub);
  stub.answerMs = SLOW_MS;
  for (let index = 0; index < 5; index += 1) {
    orders.start(stub.open(index), stub.time.clock());
  }
  await stub.time.advance(5_000);
  const sent = ['start 0#1', 'start 1#1', 'start 2#1', 'start 3#1'];
  assert.deepEqual(stub.sent, sent);
  assert.deepEqual(stub.ended, ['4#1 void']);
  assert.equal(reports.slow, 1);
});

test('a start that was late before it was queued does not count against the worker', async () => {
  const stub = new StubWorker(1);
  const { orders, reports } = ordersTo(stub);
  orders.start(stub.open(0), stub.time.clock() - MAX_START_WAIT_MS - 1);
  await stub.time.advance(5_000);
  assert.deepEqual(stub.sent, []);
  assert.deepEqual(stub.ended, ['0#1 void']);
  assert.equal(reports.slow, 0);
  assert.equal(reports.expired, 1);
});

test('only the newest of several queued limits is sent', async () => {
  const stub = new StubWorker(2);
  const { orders } = ordersTo(stub);
  const run = stub.open(0);
  orders.start(run, stub.time.clock());
  await stub.time.advance(100);
  stub.answerMs = SLOW_MS;
  orders.start(stub.open(1), stub.time.clock());
  await stub.time.advance(100);
  for (const percent of [50, 40, 30]) {
    orders.throttle(run, percent);
  }
  await stub.time.advance(5_000);
  assert.deepEqual(stub.sent, ['start 0#1', 'start 1#1', 'throttle 0#1 30']);
  assert.equal(run.progress?.allowedPercent, 30);
});

test('an unanswered limit does not count as being in effect', async () => {
  const stub = new StubWorker(1);
  const { orders } = ordersTo(stub);
  const run = stub.open(0);
  orders.start(run, stub.time.clock());
  await stub.time.advance(100);
  stub.answer = { kind: 'unknown', reason: 'timeout' };
  orders.throttle(run, 0);
  await stub.time.advance(100);
  assert.ok(run.progress);
  assert.equal(run.progress.allowedPercent, undefined);
});

test('a newer limit is sent although the previous one was not answered', async () => {
  const stub = new StubWorker(1);
  const { orders } = ordersTo(stub);
  const run = stub.open(0);
  orders.start(run, stub.time.clock());
  await stub.time.advance(100);
  stub.answerMs = SLOW_MS;
  stub.answer = { kind: 'unknown', reason: 'timeout' };
  orders.throttle(run, 0);
  await stub.time.advance(100);
  stub.answer = { kind: 'accepted', clock: 0 };
  orders.throttle(run, 20);
  await stub.time.advance(5_000);
  const sent = ['start 0#1', 'throttle 0#1 0', 'throttle 0#1 20'];
  assert.deepEqual(stub.sent, sent);
  assert.equal(run.progress?.allowedPercent, 20);
});

test('constantly changing limits do not block starts', async () => {
  const stub = new StubWorker(3);
  const { orders } = ordersTo(stub);
  const fillers = [stub.open(0), stub.open(1)];
  for (const run of fillers) {
    orders.start(run, stub.time.clock());
  }
  await stub.time.advance(100);
  stub.answerMs = 250;
  for (let at = 0; at < 30; at += 1) {
    for (const run of fillers) {
      orders.throttle(run, 50 + (at % 2));
    }
    if (at === 0) {
      orders.start(stub.open(2), stub.time.clock());
    }
    await stub.time.advance(350);
  }
  assert.ok(stub.sent.includes('start 2#1'), stub.sent.join());
});

/** Returns a worker whose starts end with `result`. */
function sendStartWithResult(result: StartResult): StubWorker {
  const stub = new StubWorker(1);
  stub.starts.send = () => {
    stub.sent.push('start');
    return Promise.resolve(result);
  };
  const { orders } = ordersTo(stub);
  orders.start(stub.open(0), stub.time.clock());
  return stub;
}

// A run that another host may have started is stopped: if it counted as never started, its task would run
// twice.
test('a run that may have started elsewhere is stopped before it is abandoned', async () => {
  const stub = sendStartWithResult({ kind: 'unsure', reason: 'superseded' });
  await stub.time.advance(100);
  assert.deepEqual(stub.sent, ['start', 'stop 0#1']);
  assert.deepEqual(stub.ended, []);
});

test('a start that was sent nowhere is abandoned at once', async () => {
  const stub = sendStartWithResult({ kind: 'not_wanted' });
  await stub.time.advance(100);
  assert.deepEqual(stub.sent, ['start']);
  assert.deepEqual(stub.ended, ['0#1 void']);
});

// Starts of one round at one worker waited for each other, though another host sends them in order.
test('starts are sent together where that keeps their order, and stops wait for them', async () => {
  const stub = new StubWorker(5);
  stub.startWidth = 3;
  stub.answerMs = 100;
  const { orders } = ordersTo(stub);
  const runs = [0, 1, 2, 3, 4].map(index => stub.open(index));
  for (const run of runs) {
    orders.start(run, stub.time.clock());
  }
  await stub.time.advance(50);
  assert.deepEqual(stub.sent, ['start 0#1', 'start 1#1', 'start 2#1']);
  const [first, , , , last] = runs;
  assert.ok(first && last);
  orders.stop(first);
  orders.stop(last);
  await stub.time.advance(40);
  assert.equal(stub.sent.length, 3);
  await stub.time.advance(60);
  assert.deepEqual(stub.sent.slice(3), ['stop 0#1']);
  await stub.time.advance(100);
  assert.deepEqual(stub.sent.slice(4), ['start 3#1']);
});
