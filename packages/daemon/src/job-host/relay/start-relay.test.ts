/** How a host sends starts on behalf of the leader. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  applyInbox,
  applyJournal,
  emptyJobsState,
} from '@paddlewind/domain/jobs';
import type {
  OrderResult,
  RelayBatch,
  RelayedStart,
  RelayOutcome,
  StartOrder,
  WorkerPort,
} from '@paddlewind/ports/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';

import { testContext } from '../context.fixture.test.js';
import { jobOf } from '../simulation.fixture.test.js';
import { StartRelay } from './start-relay.js';

const JOB = '00000000000000c1';
const SPEC = jobOf(JOB, [{ tasks: 2, after: [] }], { runMs: 10, failures: 0 });
const EPOCH = 64;
const ACCEPTED: OrderResult = { kind: 'accepted', clock: 7 };

/** A start whose latest send time comes from its batch. */
type TestStart = Omit<RelayedStart, 'sendBy'>;

const START: TestStart = {
  worker: { id: 'w', address: 'w:1' },
  order: {
    task: { job: JOB, occurrence: 0, step: 0, index: 1 },
    run: 3,
    leaseUntil: 5_000,
    fence: 9,
    checkpoint: 'c',
    ticket: 't',
  },
};

/** A host that is asked to send starts. */
class RelayFixture {
  readonly time = createVirtualTime();
  readonly state = emptyJobsState();
  readonly sent: StartOrder[] = [];
  readonly forgotten: string[] = [];
  follows = true;
  /** Duration of a read of the inbox, and the records it returns. */
  readMs = 5;
  inbox: () => void = () => undefined;

  readonly relay = new StartRelay({
    ctx: testContext(this.time),
    replica: {
      state: this.state,
      refresh: () =>
        new Promise(resolve => {
          this.time.schedule(this.readMs, () => {
            this.inbox();
            resolve(true);
          });
        }),
    },
    port: () => this.port,
    isFollowing: () => this.follows,
  });

  /** Time that a worker takes to answer, by its id. */
  readonly answerMs = new Map<string, number>();

  private readonly port: WorkerPort = {
    start: ({ id }, order) => {
      this.sent.push(order);
      return new Promise(resolve => {
        this.time.schedule(this.answerMs.get(id) ?? 0, () => {
          resolve(ACCEPTED);
        });
      });
    },
    stop: () => Promise.resolve(ACCEPTED),
    throttle: () => Promise.resolve(ACCEPTED),
    poll: () => Promise.resolve({ kind: 'fenced' }),
    isConnected: () => false,
    disconnect: ({ id }) => {
      this.forgotten.push(id);
    },
  };

  submit(): void {
    applyInbox(this.state, { kind: 'submit', job: SPEC, atWall: 0 });
  }

  /** Returns a batch of starts that this host is to send within 300 ms; of one start by default. */
  batch(starts: readonly TestStart[] = [START]): RelayBatch {
    const { process, clock } = this.relay.identify();
    const sendBy = clock + 300;
    const due = starts.map(start => ({ ...start, sendBy }));
    return { epoch: EPOCH, process, starts: due };
  }

  /** Handles a batch and returns the outcome of each start. */
  async relayAll(batch: RelayBatch): Promise<string[]> {
    const outcomes: string[] = [];
    const sending = this.relay.sendBatch(batch, (at, outcome) => {
      assert.equal(outcomes[at], undefined);
      outcomes[at] = outcomeNameOf(outcome);
    });
    await this.time.advance(1_000);
    await sending;
    return outcomes;
  }

  /** Handles a batch of one start and returns its outcome. */
  async relayOne(batch: RelayBatch): Promise<string> {
    const outcomes = await this.relayAll(batch);
    assert.equal(outcomes.length, 1);
    return outcomes[0] ?? '';
  }
}

function outcomeNameOf(outcome: RelayOutcome): string {
  return outcome.kind === 'refused' ? outcome.why : outcome.result.kind;
}

test('a start is sent with the payload from the log and all else from the leader', async () => {
  const fixture = new RelayFixture();
  fixture.submit();
  assert.equal(await fixture.relayOne(fixture.batch()), 'accepted');
  assert.deepEqual(fixture.sent, [{ ...START.order, payload: SPEC.payload }]);
});

// Without an outcome the leader assumes that the run may still start.
test('the outcome of a start is reported as soon as its worker answers', async () => {
  const fixture = new RelayFixture();
  fixture.submit();
  fixture.answerMs.set('slow', 400);
  const slow = { ...START, worker: { id: 'slow', address: 'w:2' } };
  const job = '00000000000000c9';
  const { order } = START;
  const unknown = {
    ...START,
    order: { ...order, task: { ...order.task, job } },
  };
  const outcomes: { at: number; word: string; after: number }[] = [];
  const cameAt = fixture.time.clock();
  const sending = fixture.relay.sendBatch(
    fixture.batch([slow, START, unknown]),
    (at, outcome) => {
      const after = fixture.time.clock() - cameAt;
      outcomes.push({ at, word: outcomeNameOf(outcome), after });
    },
  );
  await fixture.time.advance(1_000);
  await sending;
  assert.deepEqual(outcomes, [
    { at: 1, word: 'accepted', after: 0 },
    { at: 2, word: 'unknown_job', after: 5 },
    { at: 0, word: 'accepted', after: 400 },
  ]);
});

test('an unknown job is looked up in the log', async () => {
  const fixture = new RelayFixture();
  fixture.inbox = () => {
    fixture.submit();
  };
  assert.equal(await fixture.relayOne(fixture.batch()), 'accepted');
});

test('no start is sent for a job that is not in the log or has finished', async () => {
  const fixture = new RelayFixture();
  assert.equal(await fixture.relayOne(fixture.batch()), 'unknown_job');
  fixture.submit();
  applyInbox(fixture.state, { kind: 'cancel', job: JOB });
  assert.equal(await fixture.relayOne(fixture.batch()), 'unknown_job');
  assert.deepEqual(fixture.sent, []);
});

test('no start is sent that arrives late', async () => {
  const fixture = new RelayFixture();
  fixture.submit();
  const batch = fixture.batch();
  await fixture.time.advance(301);
  assert.equal(await fixture.relayOne(batch), 'late');
  assert.deepEqual(fixture.sent, []);
});

test('no start is sent that is late after the log was read', async () => {
  const fixture = new RelayFixture();
  fixture.readMs = 400;
  fixture.inbox = () => {
    fixture.submit();
  };
  assert.equal(await fixture.relayOne(fixture.batch()), 'late');
  assert.deepEqual(fixture.sent, []);
});

// The clock of another process of the host may be hours behind; on that clock no start would be
// late.
test('no start is sent that was addressed to another process of the host', async () => {
  const fixture = new RelayFixture();
  fixture.submit();
  const batch = { ...fixture.batch(), process: 'another' };
  assert.equal(await fixture.relayOne(batch), 'other_process');
  assert.deepEqual(fixture.sent, []);
});

test('no start is sent by a host that leads, stops or does not follow the log', async () => {
  const fixture = new RelayFixture();
  fixture.submit();
  fixture.follows = false;
  assert.equal(await fixture.relayOne(fixture.batch()), 'not_following');
  assert.deepEqual(fixture.sent, []);
});

test('no start is sent for a leader with a known successor', async () => {
  const fixture = new RelayFixture();
  fixture.submit();
  const claim = { kind: 'claim', host: 'h2', nonce: 1 } as const;
  applyJournal(fixture.state, { ...claim, epoch: EPOCH + 64 });
  assert.equal(await fixture.relayOne(fixture.batch()), 'deposed');
  assert.deepEqual(fixture.sent, []);
});

test('idle connections to workers are closed', async () => {
  const fixture = new RelayFixture();
  fixture.submit();
  await fixture.relayOne(fixture.batch());
  fixture.relay.closeIdleConnections();
  assert.deepEqual(fixture.forgotten, []);
  await fixture.time.advance(60_000);
  fixture.relay.closeIdleConnections();
  assert.deepEqual(fixture.forgotten, ['w']);
});
