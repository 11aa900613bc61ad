import assert from 'node:assert/strict';
import { test } from 'node:test';

import { applyInbox, emptyJobsState } from '@paddlewind/domain/jobs';
import type {
  CallBatch,
  CallReport,
  ExchangeResult,
  PollRequest,
  PollResult,
  StartOrder,
  WorkerPort,
} from '@paddlewind/ports/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';

import { testContext } from '../context.fixture.test.js';
import { ProxiedWorkers } from './proxied-workers.js';

const WORKER = { id: 'w', address: 'w' };
const POLL: PollRequest = {
  fence: 1,
  acknowledged: 3,
  leaseUntil: 9_000,
  waitMs: 1_000,
  slackMs: 400,
};
const SEEN: PollResult = {
  kind: 'seen',
  startedAt: undefined,
  clock: 5,
  active: [],
  ended: [],
  hasMoreEnds: false,
};
const START: StartOrder = {
  task: { job: '00000000000000c1', occurrence: 0, step: 0, index: 0 },
  run: 1,
  payload: 'p',
  leaseUntil: 9_000,
  fence: 1,
  checkpoint: '',
  ticket: undefined,
};
const LIMITS = { isWanted: () => true, sendBy: Infinity };

/** A saturated leader with one proxy, whose reports a test sets. */
class ProxiedLeader {
  readonly time = createVirtualTime();
  /** Polls and starts that the leader sent itself. */
  readonly direct: string[] = [];
  readonly batches: CallBatch[] = [];
  /** What the proxy reports of a call; nothing if undefined. */
  reportOf: (call: number) => CallReport | undefined = () => undefined;
  process = 'p';
  readonly workers: ProxiedWorkers;

  constructor() {
    const state = emptyJobsState();
    const offer = { kind: 'volunteer', host: 'r1', cores: 1 } as const;
    applyInbox(state, { ...offer, address: 'r1' });
    const ctx = {
      ...testContext(this.time),
      isSaturated: () => true,
      busyPercent: () => 100,
    };
    this.workers = new ProxiedWorkers({
      ctx,
      direct: this.directPort(),
      proxies: {
        exchange: (_address, batch) => this.exchange(batch),
        disconnect: () => undefined,
      },
      epoch: 1,
      state,
    });
    void this.workers.begin();
  }

  private directPort(): WorkerPort {
    const accepted = { kind: 'accepted', clock: 0 } as const;
    return {
      start: () => {
        this.direct.push('start');
        return Promise.resolve(accepted);
      },
      stop: () => Promise.resolve(accepted),
      throttle: () => Promise.resolve(accepted),
      poll: (_worker, request) => {
        const { acknowledged, leaseUntil = 'none' } = request;
        this.direct.push(`poll ${acknowledged} ${leaseUntil}`);
        return Promise.resolve(SEEN);
      },
      isConnected: () => true,
      disconnect: () => undefined,
    };
  }

  private async exchange(batch: CallBatch): Promise<ExchangeResult> {
    this.batches.push(batch);
    await new Promise<void>(resolve => {
      this.time.schedule(batch.calls.length > 0 ? 10 : 500, resolve);
    });
    const reports = batch.calls
      .map((_call, at) => this.reportOf(batch.first + at))
      .filter(report => report !== undefined);
    const by = { process: this.process, clock: this.time.clock() };
    const isTaken = batch.process === this.process;
    return { kind: 'answered', by, isTaken, reports };
  }
}

/** Returns a leader whose proxy is in use. */
async function leaderWithProxy(): Promise<ProxiedLeader> {
  const leader = new ProxiedLeader();
  await leader.time.advance(2_000);
  assert.ok(leader.workers.carries(WORKER));
  return leader;
}

function polled(call: number, result: PollResult): CallReport {
  const outcome = { kind: 'polled', result, connection: 7 } as const;
  return { call, outcome, isLate: false };
}

// A lease or an acknowledgement is meant for one incarnation, which answered over one connection.
test('a proxy is told over which connection the worker was identified', async () => {
  const leader = await leaderWithProxy();
  const { workers } = leader;
  leader.reportOf = call => polled(call, SEEN);
  assert.ok(!workers.isConnected(WORKER));
  const first = workers.poll(WORKER, POLL, () => undefined);
  await leader.time.advance(100);
  assert.deepEqual(await first, SEEN);
  assert.ok(workers.isConnected(WORKER));
  void workers.poll(WORKER, POLL, () => undefined);
  await leader.time.advance(100);
  const polls = leader.batches.flatMap(({ calls }) => calls);
  const connections = polls.map(call =>
    call.kind === 'poll' ? call.connection : 0,
  );
  assert.deepEqual(connections, [undefined, 7]);
  assert.deepEqual(leader.direct, []);
});

test('a worker that a proxy does not reach is only identified by the leader itself', async () => {
  const leader = await leaderWithProxy();
  leader.reportOf = call => polled(call, { kind: 'failed', reason: 'timeout' });
  const result = leader.workers.poll(WORKER, POLL, () => undefined);
  await leader.time.advance(400);
  assert.deepEqual(await result, { ...SEEN, isProbe: true });
  assert.deepEqual(leader.direct, ['poll 0 none']);
  assert.ok(!leader.workers.carries(WORKER));
});

test('calls of which a proxy tells nothing are made by the leader itself', async () => {
  const leader = await leaderWithProxy();
  const started = leader.workers.sendStart(WORKER, START, LIMITS);
  await leader.time.advance(3_000);
  assert.equal((await started).kind, 'accepted');
  assert.deepEqual(leader.direct, ['start']);
});

test('calls to another process on the same host fail at once', async () => {
  const leader = await leaderWithProxy();
  leader.process = 'q';
  const started = leader.workers.sendStart(WORKER, START, LIMITS);
  await leader.time.advance(100);
  assert.equal((await started).kind, 'accepted');
  assert.deepEqual(leader.direct, ['start']);
});

// The connection would stay open after the leader has closed all of its own.
test('a disconnected worker is not called directly when the proxy fails', async () => {
  const leader = await leaderWithProxy();
  const { workers } = leader;
  const poll = workers.poll(WORKER, POLL, () => undefined);
  const started = workers.sendStart(WORKER, START, LIMITS);
  await leader.time.advance(5);
  workers.disconnect(WORKER);
  workers.close();
  await leader.time.advance(5_000);
  assert.equal((await poll).kind, 'failed');
  assert.equal((await started).kind, 'unsure');
  assert.deepEqual(leader.direct, []);
});

// A worker that had started again under its id carried out starts that were meant for its last start.
test('a start that a worker did not answer to a proxy is not sent again', async () => {
  const leader = await leaderWithProxy();
  const result = { kind: 'unknown', reason: 'timeout' } as const;
  leader.reportOf = call => ({
    call,
    isLate: false,
    outcome: { kind: 'sent', result },
  });
  const started = leader.workers.sendStart(WORKER, START, LIMITS);
  await leader.time.advance(100);
  assert.equal((await started).kind, 'unsure');
  assert.deepEqual(leader.direct, []);
  assert.ok(!leader.workers.carries(WORKER));
});
