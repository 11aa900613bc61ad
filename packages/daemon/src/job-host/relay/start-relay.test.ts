/** What a host does that is to send a start for the leader. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  applyInbox,
  applyJournal,
  emptyJobsState,
} from '@paddlewind/domain/jobs';
import type {
  OrderResult,
  RelayedStart,
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

/** A host that is asked to send starts. */
class RelaySite {
  readonly time = createVirtualTime();
  readonly state = emptyJobsState();
  readonly sent: StartOrder[] = [];
  readonly forgotten: string[] = [];
  follows = true;
  /** What a read of the inbox takes, and brings. */
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
    follows: () => this.follows,
  });

  private readonly port: WorkerPort = {
    start: (_to, order) => {
      this.sent.push(order);
      return Promise.resolve(ACCEPTED);
    },
    stop: () => Promise.resolve(ACCEPTED),
    throttle: () => Promise.resolve(ACCEPTED),
    look: () => Promise.resolve({ kind: 'fenced' }),
    isConnected: () => false,
    forget: ({ id }) => {
      this.forgotten.push(id);
    },
  };

  submit(): void {
    applyInbox(this.state, { kind: 'submit', job: SPEC, atWall: 0 });
  }

  /** A start that this host is to send within 300 ms. */
  start(): RelayedStart {
    const { process, clock } = this.relay.identify();
    return {
      epoch: EPOCH,
      process,
      sendBy: clock + 300,
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
  }

  /** Takes a start, and returns what became of it. */
  async take(start: RelayedStart): Promise<string> {
    const taking = this.relay.take(start);
    await this.time.advance(1_000);
    const answer = await taking;
    return answer.kind === 'refused' ? answer.why : answer.result.kind;
  }
}

test('a start is sent with the payload that the log holds, and all else as the leader says', async () => {
  const site = new RelaySite();
  site.submit();
  const start = site.start();
  assert.equal(await site.take(start), 'accepted');
  assert.deepEqual(site.sent, [{ ...start.order, payload: SPEC.payload }]);
});

test('a job that is not known is looked for in the log', async () => {
  const site = new RelaySite();
  site.inbox = () => {
    site.submit();
  };
  assert.equal(await site.take(site.start()), 'accepted');
});

test('no start is sent of a job that is not in the log, or over', async () => {
  const site = new RelaySite();
  assert.equal(await site.take(site.start()), 'unknown_job');
  site.submit();
  applyInbox(site.state, { kind: 'cancel', job: JOB });
  assert.equal(await site.take(site.start()), 'unknown_job');
  assert.deepEqual(site.sent, []);
});

test('no start is sent that arrives late', async () => {
  const site = new RelaySite();
  site.submit();
  const start = site.start();
  await site.time.advance(301);
  assert.equal(await site.take(start), 'late');
  assert.deepEqual(site.sent, []);
});

test('no start is sent that is late once the log was read', async () => {
  const site = new RelaySite();
  site.readMs = 400;
  site.inbox = () => {
    site.submit();
  };
  assert.equal(await site.take(site.start()), 'late');
  assert.deepEqual(site.sent, []);
});

// The clock of another process of the host may be behind by hours: by it no start would be late.
test('no start is sent that was meant for another process of the host', async () => {
  const site = new RelaySite();
  site.submit();
  const start = { ...site.start(), process: 'another' };
  assert.equal(await site.take(start), 'other_process');
  assert.deepEqual(site.sent, []);
});

test('no start is sent by a host that leads, stops or does not follow the log', async () => {
  const site = new RelaySite();
  site.submit();
  site.follows = false;
  assert.equal(await site.take(site.start()), 'not_following');
  assert.deepEqual(site.sent, []);
});

test('no start is sent for a leader of which a later one is known', async () => {
  const site = new RelaySite();
  site.submit();
  const claim = { kind: 'claim', host: 'h2', nonce: 1 } as const;
  applyJournal(site.state, { ...claim, epoch: EPOCH + 64 });
  assert.equal(await site.take(site.start()), 'deposed');
  assert.deepEqual(site.sent, []);
});

test('connections to workers that are not used are closed', async () => {
  const site = new RelaySite();
  site.submit();
  await site.take(site.start());
  site.relay.forgetUnused();
  assert.deepEqual(site.forgotten, []);
  await site.time.advance(60_000);
  site.relay.forgetUnused();
  assert.deepEqual(site.forgotten, ['w']);
});
