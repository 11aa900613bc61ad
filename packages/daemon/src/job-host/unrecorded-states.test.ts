import assert from 'node:assert/strict';
import { test } from 'node:test';

import { UNKNOWN_SPAN } from '@paddlewind/domain';
import { encodeRecord, type RunEnd } from '@paddlewind/domain/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';
import { MemoryJobLog } from '@paddlewind/stand-ins/jobs';

import type { StatusResult } from './caller-view.js';
import { testContext } from './context.fixture.test.js';
import { DecisionLog } from './decision-log.js';
import { ReplicaView } from './replica-view.js';
import { Replica } from './replica.js';
import { jobOf } from './simulation.fixture.test.js';

const JOB = '00000000000000d2';
const TASK = { job: JOB, occurrence: 0, step: 0, index: 0 };
const APPEND_MS = 300;

/** A leader on a slow log, and its answers to callers. */
class AnsweringLeader {
  readonly time = createVirtualTime();
  readonly log = new MemoryJobLog({ ...this.time, random: () => 0.5 });
  private readonly replica: Replica;
  private readonly decisions: DecisionLog;
  private readonly view: ReplicaView;

  constructor() {
    const { clock } = this.time;
    const ctx = testContext(this.time);
    const jobLog = this.log.connect('h');
    this.replica = new Replica(ctx, jobLog);
    this.decisions = new DecisionLog(ctx, jobLog, this.replica, {
      epoch: 1,
      firstFence: 1,
      nonce: 0,
      nextStamp: { writer: 'leader', epoch: 1, sequence: 1 },
      sentAt: clock(),
      wonAt: clock(),
      silence: UNKNOWN_SPAN,
    });
    this.view = new ReplicaView(ctx, this.replica, () => this.decisions);
  }

  /** Accepts a job of one task, whose first run starts. */
  async accept(): Promise<void> {
    const script = { runMs: 400, failures: 0 };
    const job = jobOf(JOB, [{ tasks: 1, after: [] }], script);
    const submitted = encodeRecord({ kind: 'submit', job, atWall: 0 });
    void this.log.connect('h').append('inbox', [submitted]);
    await this.time.advance(100);
    void this.replica.refresh('inbox');
    await this.time.advance(100);
    this.log.appendMs = APPEND_MS;
    this.start(1);
    this.decisions.record({ kind: 'begun', job: JOB });
  }

  start(run: number): void {
    this.decisions.record({ kind: 'start', task: TASK, run, worker: 'w' });
  }

  end(run: number, how: RunEnd): void {
    const ended = { task: TASK, run, how, checkpoint: '' };
    this.decisions.record({ kind: 'end', ...ended });
  }

  write(): void {
    void this.decisions.write();
  }

  /** Gives up the leadership before anything else is written. */
  close(): void {
    this.decisions.close();
  }

  status(): Promise<StatusResult> {
    return this.view.status(JOB);
  }
}

// Guards against a job that is shown as failed by a leader whose decision is never recorded: the next leader
// goes on with the job. A caller that waited for an earlier append was answered from what was decided since.
test('a failure decided while a caller waits is not shown before it is recorded', async () => {
  const leader = new AnsweringLeader();
  await leader.accept();
  leader.end(1, 'failed');
  leader.start(2);
  leader.end(2, 'failed');
  leader.start(3);
  leader.write();
  const asked = leader.status();
  await leader.time.advance(APPEND_MS / 2);
  leader.end(3, 'failed');
  await leader.time.advance(APPEND_MS);
  leader.close();
  await leader.time.advance(APPEND_MS);
  assert.deepEqual(await asked, { kind: 'known', status: 'running' });
});

test('a state that is final while a caller waits is shown once it is recorded', async () => {
  const leader = new AnsweringLeader();
  await leader.accept();
  leader.write();
  const asked = leader.status();
  await leader.time.advance(APPEND_MS / 2);
  leader.end(1, 'done');
  await leader.time.advance(APPEND_MS);
  leader.write();
  await leader.time.advance(2 * APPEND_MS);
  assert.deepEqual(await asked, { kind: 'known', status: 'completed' });
});

test('a state that is not final is shown without another wait', async () => {
  const leader = new AnsweringLeader();
  await leader.accept();
  leader.write();
  const asked = leader.status();
  await leader.time.advance(APPEND_MS / 2);
  leader.end(1, 'failed');
  await leader.time.advance(APPEND_MS);
  leader.close();
  assert.deepEqual(await asked, { kind: 'known', status: 'running' });
});
