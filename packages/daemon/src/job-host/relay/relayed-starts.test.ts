/** What a leader makes of the answers of hosts that are to send its starts, and which hosts it asks. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { applyInbox, emptyJobsState } from '@paddlewind/domain/jobs';
import type {
  OrderResult,
  PeerPort,
  RelayedStart,
  RelayResult,
  StartOrder,
  WorkerPort,
} from '@paddlewind/ports/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';

import { testContext } from '../context.fixture.test.js';
import { LinkBudget } from './link-budget.js';
import { LinkPace } from './link-pace.js';
import { RelayedStarts } from './relayed-starts.js';
import type { StartResult } from './start-sender.js';

const ACCEPTED: OrderResult = { kind: 'accepted', clock: 7 };
const SILENT: OrderResult = { kind: 'unknown', reason: 'timeout' };
/** What the other hosts' clocks are ahead by. */
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
  | Extract<RelayResult, { kind: 'failed' }>;

const LOST: Answer = { kind: 'failed', outcome: 'unknown', reason: 'timeout' };

/** A leader whose link carries no payload, and three hosts that stand by. */
class LeaderSite {
  readonly time = createVirtualTime();
  readonly state = emptyJobsState();
  /** What became of starts that a host was to send, by its address. */
  readonly answers = new Map<string, Answer>();
  /** What the worker answers to the leader itself. */
  own: OrderResult = ACCEPTED;
  readonly sentBy: string[] = [];
  readonly relayed: RelayedStart[] = [];
  readonly starts: RelayedStarts;

  constructor(linkBytesPerS = 1) {
    const { clock } = this.time;
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
      budget: new LinkBudget(clock, linkBytesPerS),
      pace: new LinkPace(ctx, Infinity),
    });
    void this.starts.begin();
  }

  private readonly port: WorkerPort = {
    start: () => {
      this.sentBy.push('leader');
      return Promise.resolve(this.own);
    },
    stop: () => Promise.resolve(ACCEPTED),
    throttle: () => Promise.resolve(ACCEPTED),
    look: () => Promise.resolve({ kind: 'fenced' }),
    isConnected: () => false,
    forget: () => undefined,
  };

  private readonly peers: PeerPort = {
    append: () => Promise.resolve({ kind: 'unknown', reason: 'none' }),
    identify: address => {
      const gone = this.answers.get(address)?.kind === 'failed';
      const found = { process: `of ${address}`, clock: this.remoteClock() };
      return Promise.resolve(gone ? undefined : found);
    },
    relay: (address, start) => {
      this.sentBy.push(address);
      this.relayed.push(start);
      const answer = this.answers.get(address) ?? {
        kind: 'sent',
        result: ACCEPTED,
      };
      const process = `of ${address}`;
      return Promise.resolve(
        answer.kind === 'failed'
          ? answer
          : { ...answer, process, clock: this.remoteClock() },
      );
    },
  };

  private remoteClock(): number {
    return this.time.clock() + AHEAD_MS;
  }

  /** Sends a start to a worker, once the other hosts are known; it is wanted until one was asked, or for good. */
  async send(worker: string, staysWanted = true): Promise<StartResult> {
    await this.time.advance(10);
    const to = { id: worker, address: worker };
    const isWanted = (): boolean => staysWanted || this.sentBy.length === 0;
    const res = await this.starts.send(to, ORDER, isWanted);
    this.starts.close();
    return res;
  }

  /** Lets all other hosts answer the same. */
  answerAll(answer: Answer): this {
    RELAYS.forEach(host => this.answers.set(host, answer));
    return this;
  }
}

/** Returns a site that knows its hosts, which answer `answer` from then on. */
async function knownSite(answer: Answer): Promise<LeaderSite> {
  const site = new LeaderSite();
  await site.time.advance(10);
  return site.answerAll(answer);
}

test('a start that the link has no room for goes by way of one other host', async () => {
  const site = new LeaderSite();
  assert.deepEqual(await site.send('w'), ACCEPTED);
  assert.equal(site.sentBy.length, 1);
  assert.notEqual(site.sentBy[0], 'leader');
});

test('a start that the link has room for is sent by the leader', async () => {
  const site = new LeaderSite(1_000_000);
  assert.deepEqual(await site.send('w'), ACCEPTED);
  assert.deepEqual(site.sentBy, ['leader']);
});

test('the other host is told the latest time by its own clock', async () => {
  const site = new LeaderSite();
  await site.send('w');
  const [start] = site.relayed;
  const latest = site.time.clock() + AHEAD_MS + 300;
  assert.ok(start !== undefined && start.sendBy <= latest);
  assert.ok(start.sendBy > latest - 100);
});

test('a worker keeps its host, and has another one only while that rests', async () => {
  const site = new LeaderSite();
  await site.time.advance(10);
  const to = { id: 'w', address: 'w' };
  const send = (): Promise<StartResult> =>
    site.starts.send(to, ORDER, () => true);
  await send();
  await send();
  const [first = '', second] = site.sentBy;
  assert.equal(second, first);
  site.answers.set(first, LOST);
  await send();
  await send();
  site.answers.delete(first);
  await site.time.advance(2_000);
  await send();
  site.starts.close();
  const [, , lost, own, other, back] = site.sentBy;
  assert.deepEqual([lost, own, back], [first, 'leader', first]);
  assert.ok(other !== undefined && other !== first && other !== 'leader');
});

test('workers are shared among all hosts', async () => {
  const site = new LeaderSite();
  await site.time.advance(10);
  for (let at = 0; at < 60; at += 1) {
    const to = { id: `w${at}`, address: 'w' };
    await site.starts.send(to, ORDER, () => true);
  }
  site.starts.close();
  for (const host of RELAYS) {
    const share = site.sentBy.filter(by => by === host).length;
    assert.ok(share >= 10, `${host} has ${share}`);
  }
});

test('a start that another host has refused or not taken is sent by the leader', async () => {
  const refused: Answer = { kind: 'refused', why: 'late' };
  for (const answer of [refused, LOST]) {
    const site = await knownSite(answer);
    assert.deepEqual(await site.send('w'), ACCEPTED);
    assert.equal(site.sentBy.at(-1), 'leader');
  }
});

// The leader alone tells whether a worker is silent: the way from the other host to it may be cut.
test('a worker that does not answer another host is asked by the leader, and that host rests', async () => {
  const site = await knownSite({ kind: 'sent', result: SILENT });
  await site.time.advance(10);
  const to = { id: 'w', address: 'w' };
  assert.deepEqual(await site.starts.send(to, ORDER, () => true), ACCEPTED);
  await site.starts.send(to, ORDER, () => true);
  site.starts.close();
  const [first, own, second] = site.sentBy;
  assert.equal(own, 'leader');
  assert.notEqual(second, first);
});

// It may have begun and ended there: recorded as never begun, its task would run once more.
test('a run that is refused after another host may have sent it is not taken for one that never began', async () => {
  const old: OrderResult = { kind: 'rejected', why: 'superseded', clock: 7 };
  for (const answer of [LOST, { kind: 'sent', result: SILENT }] as const) {
    const site = await knownSite(answer);
    site.own = old;
    assert.equal((await site.send('w')).kind, 'unsure');
    site.own = { kind: 'not_run', reason: 'refused' };
  }
  const site = await knownSite(LOST);
  site.own = { kind: 'not_run', reason: 'refused' };
  assert.equal((await site.send('w')).kind, 'unknown');
});

test('a start that is not wanted any more is not sent again', async () => {
  const lost = await knownSite(LOST);
  assert.equal((await lost.send('w', false)).kind, 'unsure');
  const refused = await knownSite({ kind: 'refused', why: 'late' });
  assert.equal((await refused.send('w', false)).kind, 'not_wanted');
  assert.ok(![...lost.sentBy, ...refused.sentBy].includes('leader'));
});

test('what a worker has turned down is told as it is', async () => {
  const fenced: OrderResult = { kind: 'rejected', why: 'fenced', clock: 7 };
  const site = await knownSite({ kind: 'sent', result: fenced });
  assert.deepEqual(await site.send('w'), fenced);
  const later = await knownSite(LOST);
  later.own = fenced;
  assert.deepEqual(await later.send('w'), fenced);
});
