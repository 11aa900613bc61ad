/** How a leader handles the answers of hosts that send its starts, and which hosts it selects. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { applyInbox, emptyJobsState } from '@paddlewind/domain/jobs';
import type {
  OrderResult,
  PeerPort,
  RelayBatch,
  RelayFailure,
  StartOrder,
  WorkerPort,
} from '@paddlewind/ports/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';

import { testContext } from '../context.fixture.test.js';
import { RelayedStarts } from './relayed-starts.js';
import type { StartLimits, StartResult } from './start-sender.js';

const ACCEPTED: OrderResult = { kind: 'accepted', clock: 7 };
const SILENT: OrderResult = { kind: 'unknown', reason: 'timeout' };
/** Offset of the other hosts' clocks. */
const AHEAD_MS = 1_000_000;
const RELAYS = ['r1', 'r2', 'r3'];
const ORDER: StartOrder = {
  task: { job: '00000000000000c1', occurrence: 0, step: 0, index: 1 },
  run: 3,
  payload: 'x'.repeat(4_000),
  leaseUntil: 5_000,
  fence: 9,
  checkpoint: '',
  ticket: undefined,
};

type Answer =
  | { readonly kind: 'sent'; readonly result: OrderResult }
  | { readonly kind: 'refused'; readonly why: 'late' }
  | RelayFailure;

/** A start that is always wanted. */
const WANTED: StartLimits = { isWanted: () => true, sendBy: Infinity };

const LOST: Answer = { kind: 'failed', outcome: 'unknown', reason: 'timeout' };

/** A leader whose link carries no payload, and three standbys. */
class LeaderFixture {
  readonly time = createVirtualTime();
  readonly state = emptyJobsState();
  /** Outcome of the starts sent through a host, by its address. */
  readonly answers = new Map<string, Answer>();
  /** The worker's answer to the leader itself. */
  directResult: OrderResult = ACCEPTED;
  readonly sentBy: string[] = [];
  readonly relayed: RelayBatch[] = [];
  readonly starts: RelayedStarts;

  constructor(linkBytesPerS = 1) {
    const ctx = testContext(this.time);
    for (const host of RELAYS) {
      const offer = { kind: 'volunteer', host, cores: 1 } as const;
      applyInbox(this.state, { ...offer, address: host });
    }
    this.starts = new RelayedStarts({
      ctx,
      port: this.port,
      peers: this.peers,
      epoch: 64,
      state: this.state,
      shares: {
        payloads: linkBytesPerS,
        retries: Infinity,
        withoutRelays: Infinity,
      },
    });
    void this.starts.begin();
  }

  private readonly port: WorkerPort = {
    start: () => {
      this.sentBy.push('leader');
      return Promise.resolve(this.directResult);
    },
    stop: () => Promise.resolve(ACCEPTED),
    throttle: () => Promise.resolve(ACCEPTED),
    poll: () => Promise.resolve({ kind: 'fenced' }),
    isConnected: () => false,
    disconnect: () => undefined,
  };

  private readonly peers: PeerPort = {
    append: () => Promise.resolve({ kind: 'unknown', reason: 'none' }),
    identify: address => {
      const isSilent = this.answers.get(address)?.kind === 'failed';
      const found = { process: `of ${address}`, clock: this.remoteClock() };
      return Promise.resolve(isSilent ? undefined : found);
    },
    relay: (address, batch, { onAccepted, onOutcome }) => {
      this.sentBy.push(address);
      this.relayed.push(batch);
      const answer = this.answers.get(address) ?? {
        kind: 'sent',
        result: ACCEPTED,
      };
      if (answer.kind === 'failed') {
        return Promise.resolve(answer);
      }
      onAccepted({ process: `of ${address}`, clock: this.remoteClock() });
      batch.starts.forEach((_start, at) => {
        onOutcome(at, answer);
      });
      return Promise.resolve({ kind: 'ended' });
    },
  };

  /** Latency of the other hosts' answers. */
  answerLagMs = 0;

  private remoteClock(): number {
    return this.time.clock() + AHEAD_MS - this.answerLagMs;
  }

  /**
   * Sends a start to a worker once the other hosts are known. It stays wanted, or is wanted only
   * until one host was asked.
   */
  async send(worker: string, staysWanted = true): Promise<StartResult> {
    await this.time.advance(10);
    const isWanted = (): boolean => staysWanted || this.sentBy.length === 0;
    const res = await this.sendOne(worker, { ...WANTED, isWanted });
    this.starts.close();
    return res;
  }

  /** Sends a start to a worker. */
  async sendOne(worker: string, limits = WANTED): Promise<StartResult> {
    const sending = this.startSending(worker, limits);
    await this.time.advance(100);
    return sending;
  }

  /** Sends a start to each worker, one after the other. */
  async sendToAll(workers: readonly string[]): Promise<void> {
    for (const worker of workers) {
      await this.sendOne(worker);
    }
  }

  /** Begins to send a start to a worker. */
  startSending(worker: string, limits = WANTED): Promise<StartResult> {
    return this.starts.send({ id: worker, address: worker }, ORDER, limits);
  }

  /** Latest times at which the relayed starts may be sent, on the leader's clock. */
  latestSendTimes(): number[] {
    const starts = this.relayed.flatMap(batch => batch.starts);
    return starts.map(({ sendBy }) => sendBy - AHEAD_MS);
  }

  /** Makes all other hosts give the same answer. */
  answerAll(answer: Answer): this {
    RELAYS.forEach(host => this.answers.set(host, answer));
    return this;
  }
}

/** Returns the worker `w` `count` times, or `count` workers whose names start with `name`. */
function workersOf(count: number, name?: string): string[] {
  return Array.from({ length: count }, (_, at) =>
    name === undefined ? 'w' : `${name}${at}`,
  );
}

/** Returns a leader that knows its hosts, which give `answer` from then on. */
async function leaderWithKnownHosts(answer: Answer): Promise<LeaderFixture> {
  const fixture = new LeaderFixture();
  await fixture.time.advance(10);
  return fixture.answerAll(answer);
}

test('a start that exceeds the link budget is sent through one other host', async () => {
  const fixture = new LeaderFixture();
  assert.deepEqual(await fixture.send('w'), ACCEPTED);
  assert.equal(fixture.sentBy.length, 1);
  assert.notEqual(fixture.sentBy[0], 'leader');
});

test('a start within the link budget is sent by the leader', async () => {
  const fixture = new LeaderFixture(1_000_000);
  assert.deepEqual(await fixture.send('w'), ACCEPTED);
  assert.deepEqual(fixture.sentBy, ['leader']);
});

test('the other host gets the latest time on its own clock', async () => {
  const fixture = new LeaderFixture();
  await fixture.time.advance(10);
  const before = fixture.time.clock();
  await fixture.sendOne('w');
  await fixture.sendOne('w', { ...WANTED, sendBy: fixture.time.clock() + 120 });
  fixture.starts.close();
  const [first, second] = fixture.latestSendTimes();
  assert.equal(first, before + 300);
  assert.equal(second, before + 100 + 120);
});

// A slow answer makes the other clock seem to be behind, so that each start would be late.
test('the latest time is computed from the fastest answer of the other host', async () => {
  const fixture = new LeaderFixture();
  await fixture.time.advance(10);
  fixture.answerLagMs = 250;
  await fixture.sendOne('w');
  await fixture.sendOne('w');
  const sendTimes = fixture.latestSendTimes();
  assert.equal(sendTimes.length, 2);
  assert.ok(sendTimes.every((at, turn) => at >= 10 + 300 + 100 * turn));
  // The bound is kept only for seconds, since a machine may have been suspended meanwhile.
  await fixture.time.advance(3_000);
  await fixture.sendToAll(workersOf(2 * RELAYS.length));
  fixture.starts.close();
  assert.equal(
    fixture.latestSendTimes().at(-1),
    fixture.time.clock() - 100 + 300 - 250,
  );
});

test('a host that lost a start gets none during its backoff and others replace it', async () => {
  const fixture = new LeaderFixture();
  await fixture.time.advance(10);
  await fixture.sendOne('w');
  const [first = ''] = fixture.sentBy;
  fixture.answers.set(first, LOST);
  const toFirst = (): number =>
    fixture.sentBy.filter(by => by === first).length;
  while (toFirst() < 2) {
    assert.deepEqual(await fixture.sendOne('w'), ACCEPTED);
  }
  for (let turn = 0; turn < 6; turn += 1) {
    assert.deepEqual(await fixture.sendOne('w'), ACCEPTED);
  }
  assert.equal(toFirst(), 2);
  fixture.answers.delete(first);
  await fixture.time.advance(2_000);
  await fixture.sendToAll(workersOf(RELAYS.length));
  fixture.starts.close();
  assert.equal(toFirst(), 3);
  assert.ok(!fixture.sentBy.includes('leader'));
});

// Falling back to the leader's own link costs five times the bytes while that link is short of
// capacity.
test('hosts that seem silent all at once are still used while they answer', async () => {
  const fixture = await leaderWithKnownHosts(LOST);
  for (let turn = 0; turn < 4; turn += 1) {
    await fixture.sendOne('w');
  }
  fixture.answerAll({ kind: 'sent', result: ACCEPTED });
  fixture.sentBy.length = 0;
  assert.deepEqual(await fixture.sendOne('w'), ACCEPTED);
  fixture.starts.close();
  assert.ok(!fixture.sentBy.includes('leader'));
});

test('hosts that are silent for seconds count as unavailable', async () => {
  const fixture = await leaderWithKnownHosts(LOST);
  await fixture.sendToAll(workersOf(RELAYS.length));
  await fixture.time.advance(2_500);
  fixture.sentBy.length = 0;
  assert.deepEqual(await fixture.sendOne('w'), ACCEPTED);
  fixture.starts.close();
  assert.deepEqual(fixture.sentBy, ['leader']);
});

test('starts that are given at about the same time share one call', async () => {
  const fixture = new LeaderFixture();
  await fixture.time.advance(10);
  await Promise.all([
    fixture.startSending('w1'),
    fixture.startSending('w2'),
    fixture.time.advance(1),
  ]);
  const soon = [fixture.startSending('w3')];
  await fixture.time.advance(10);
  soon.push(fixture.startSending('w4'));
  await fixture.time.advance(20);
  await Promise.all(soon);
  fixture.starts.close();
  const calls = fixture.relayed.map(({ starts }) =>
    starts.map(({ worker }) => worker.id),
  );
  assert.deepEqual(calls, [
    ['w1', 'w2'],
    ['w3', 'w4'],
  ]);
});

test('starts are distributed over all hosts', async () => {
  const fixture = new LeaderFixture();
  await fixture.time.advance(10);
  for (let at = 0; at < 60; at += 1) {
    await fixture.sendOne(`w${at}`);
  }
  fixture.starts.close();
  for (const host of RELAYS) {
    const share = fixture.sentBy.filter(by => by === host).length;
    assert.ok(share >= 10, `${host} has ${share}`);
  }
});

test('a start that another host refused or did not accept is sent by the leader', async () => {
  const refused: Answer = { kind: 'refused', why: 'late' };
  for (const answer of [refused, LOST]) {
    const fixture = await leaderWithKnownHosts(answer);
    assert.deepEqual(await fixture.send('w'), ACCEPTED);
    assert.equal(fixture.sentBy.at(-1), 'leader');
  }
});

// Only the leader can determine whether a worker is silent, since the path from the other host may
// be cut.
test('a worker that does not answer one host is called by the leader and then through another host', async () => {
  const fixture = await leaderWithKnownHosts({ kind: 'sent', result: SILENT });
  await fixture.time.advance(10);
  assert.deepEqual(await fixture.sendOne('w'), ACCEPTED);
  await fixture.sendOne('w');
  fixture.starts.close();
  const [first, own, second] = fixture.sentBy;
  assert.equal(own, 'leader');
  assert.notEqual(second, first);
});

// Otherwise one briefly slow worker would leave the leader without hosts, and with all payloads.
test('a host that one worker does not answer is still used for other workers', async () => {
  const fixture = await leaderWithKnownHosts({ kind: 'sent', result: SILENT });
  await fixture.sendToAll(workersOf(RELAYS.length));
  fixture.answerAll({ kind: 'sent', result: ACCEPTED });
  fixture.sentBy.length = 0;
  await fixture.sendOne('w');
  await fixture.sendOne('v');
  fixture.starts.close();
  const [again, other] = fixture.sentBy;
  assert.equal(again, 'leader');
  assert.ok(other !== undefined && other !== 'leader');
});

test('a host that several workers do not answer is not used while there are others', async () => {
  const fixture = new LeaderFixture();
  await fixture.time.advance(10);
  const [cut = ''] = RELAYS;
  fixture.answers.set(cut, { kind: 'sent', result: SILENT });
  await fixture.sendToAll(workersOf(4 * RELAYS.length, 'w'));
  const before = fixture.sentBy.filter(by => by === cut).length;
  assert.equal(before, 4);
  await fixture.sendToAll(workersOf(RELAYS.length, 'v'));
  assert.equal(fixture.sentBy.filter(by => by === cut).length, before);
  await fixture.time.advance(3_000);
  await fixture.sendToAll(workersOf(RELAYS.length, 'w'));
  fixture.starts.close();
  assert.ok(fixture.sentBy.filter(by => by === cut).length > before);
});

// The run may have started and ended there: recorded as never started, its task would run again.
test('a run refused after another host may have sent it does not count as never started', async () => {
  const old: OrderResult = { kind: 'rejected', why: 'superseded', clock: 7 };
  for (const answer of [LOST, { kind: 'sent', result: SILENT }] as const) {
    const fixture = await leaderWithKnownHosts(answer);
    fixture.directResult = old;
    assert.equal((await fixture.send('w')).kind, 'unsure');
    fixture.directResult = { kind: 'not_run', reason: 'refused' };
  }
  const fixture = await leaderWithKnownHosts(LOST);
  fixture.directResult = { kind: 'not_run', reason: 'refused' };
  assert.equal((await fixture.send('w')).kind, 'unknown');
});

test('a start that is no longer wanted is not sent again', async () => {
  const lost = await leaderWithKnownHosts(LOST);
  assert.equal((await lost.send('w', false)).kind, 'unsure');
  const refused = await leaderWithKnownHosts({ kind: 'refused', why: 'late' });
  assert.equal((await refused.send('w', false)).kind, 'not_wanted');
  assert.ok(![...lost.sentBy, ...refused.sentBy].includes('leader'));
});

test('the refusal of a worker is returned unchanged', async () => {
  const fenced: OrderResult = { kind: 'rejected', why: 'fenced', clock: 7 };
  const fixture = await leaderWithKnownHosts({ kind: 'sent', result: fenced });
  assert.deepEqual(await fixture.send('w'), fenced);
  const later = await leaderWithKnownHosts(LOST);
  later.directResult = fenced;
  assert.deepEqual(await later.send('w'), fenced);
});
