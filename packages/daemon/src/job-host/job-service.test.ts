import assert from 'node:assert/strict';
import { test } from 'node:test';

import { encodeRecord, NO_LIMITS, type RunEnd } from '@paddlewind/domain/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';
import { MemoryJobLog } from '@paddlewind/stand-ins/jobs';

import { testContext } from './context.fixture.test.js';
import type { StatusResult } from './caller-view.js';
import { InboxSender } from './inbox-sender.js';
import { JobService } from './job-service.js';
import { ReplicaView } from './replica-view.js';
import { Replica } from './replica.js';
import { jobOf } from './simulation.fixture.test.js';

const ID = '00000000000000b1';
const TASK = { job: ID, occurrence: 0, step: 0, index: 0 };

/** A host that follows the journal, and a log to which others write. */
class FollowerFixture {
  readonly time = createVirtualTime();
  readonly log = new MemoryJobLog({ ...this.time, random: () => 0.5 });
  readonly replica: Replica;
  readonly service: JobService;

  constructor() {
    const ctx = testContext(this.time);
    const jobLog = this.log.connect('h');
    this.replica = new Replica(ctx, jobLog);
    const view = new ReplicaView(ctx, this.replica, () => undefined);
    const inbox = new InboxSender({
      ctx,
      jobLog,
      view: () => view,
      leader: () => undefined,
    });
    this.service = new JobService(ctx, inbox, () => view);
  }

  /** Keeps reading the journal, as a follower does. */
  async follow(): Promise<void> {
    const keepReading = (): void => {
      void this.replica.refresh('journal');
      this.time.schedule(300, keepReading);
    };
    keepReading();
    await this.time.advance(100);
  }

  /** Another host accepts the job, and this one reads it. */
  async learnJob(): Promise<void> {
    const steps = [{ tasks: 1, after: [] }];
    const job = jobOf(ID, steps, { runMs: 100, failures: 0 });
    const submit = encodeRecord({ kind: 'submit', job, atWall: 0 });
    void this.log.connect('other').append('inbox', [submit]);
    await this.time.advance(100);
    void this.replica.refresh('inbox');
    void this.replica.refresh('journal');
    await this.time.advance(100);
    assert.ok(this.replica.state.jobs.has(ID));
  }

  /** The leader records a run of the job's only task. */
  async recordRun(how: RunEnd): Promise<void> {
    const records = [
      encodeRecord({ kind: 'start', task: TASK, run: 1, worker: 'w' }),
      encodeRecord({ kind: 'end', task: TASK, run: 1, how, checkpoint: '' }),
    ];
    void this.log.connect('other').append('journal', records);
    await this.time.advance(100);
  }

  async status(): Promise<StatusResult> {
    const pending = this.service.status(ID);
    await this.time.advance(2_000);
    return pending;
  }
}

test('a follower reports the end of a job that it has not read yet', async () => {
  const follower = new FollowerFixture();
  await follower.learnJob();
  await follower.recordRun('done');
  assert.deepEqual(await follower.status(), {
    kind: 'known',
    status: 'completed',
  });
});

test('a follower reports no state while it cannot read the journal', async () => {
  const follower = new FollowerFixture();
  await follower.learnJob();
  follower.log.hostStreamModes.set('h journal', 'unreadable');
  assert.deepEqual(await follower.status(), { kind: 'unavailable' });
});

test('a follower reports a known end of a job without reading', async () => {
  const follower = new FollowerFixture();
  await follower.learnJob();
  await follower.recordRun('done');
  void follower.replica.refresh('journal');
  await follower.time.advance(100);
  follower.log.hostStreamModes.set('h journal', 'unreadable');
  assert.deepEqual(await follower.status(), {
    kind: 'known',
    status: 'completed',
  });
});

/** Submits a job and returns its outcome after `afterMs`. */
async function outcomeOfSubmit(
  { service, time }: FollowerFixture,
  id: string,
  afterMs: number,
): Promise<string> {
  let outcome = 'nothing';
  const job = jobOf(id, [{ tasks: 1, after: [] }], { runMs: 1, failures: 0 });
  void service.submit(job, time.clock() + 3_000).then(({ kind }) => {
    outcome = kind;
  });
  await time.advance(afterMs);
  return outcome;
}

test('callers are refused at once while the inbox resets connections', async () => {
  const follower = new FollowerFixture();
  await follower.follow();
  follower.log.streamModes.set('inbox', 'resetting');
  assert.equal(
    await outcomeOfSubmit(follower, '0000000000000001', 20),
    'unknown',
  );
  for (const id of ['0000000000000002', '0000000000000003']) {
    assert.equal(await outcomeOfSubmit(follower, id, 1), 'refused');
  }
  await follower.time.advance(5_000);
  assert.equal(
    await outcomeOfSubmit(follower, '0000000000000004', 1),
    'refused',
  );
  assert.equal(follower.log.recordsOf('inbox').length, 0);
});

test('callers are accepted again once the inbox can be read', async () => {
  const follower = new FollowerFixture();
  await follower.follow();
  follower.log.streamModes.set('inbox', 'resetting');
  await outcomeOfSubmit(follower, '0000000000000001', 2_000);
  follower.log.streamModes.delete('inbox');
  await follower.time.advance(500);
  assert.equal(
    await outcomeOfSubmit(follower, '0000000000000002', 50),
    'recorded',
  );
});

test('one lost answer does not make later callers wait or retry', async () => {
  const follower = new FollowerFixture();
  await follower.follow();
  follower.log.unansweredAppends = 1;
  await outcomeOfSubmit(follower, '0000000000000001', 1_000);
  assert.equal(
    await outcomeOfSubmit(follower, '0000000000000002', 50),
    'recorded',
  );
});

// Otherwise a caller waits for a job that the leader never starts.
test('a job that would begin after its objective is refused at once, with a time to return', async () => {
  const fixture = new FollowerFixture();
  fixture.replica.state.admissionLimits = {
    ...NO_LIMITS,
    startDelays: [[0, 9_000]],
  };
  const steps = [{ tasks: 1, after: [], estimateMs: 1_000 }];
  const job = jobOf(ID, steps, { runMs: 100, failures: 0 });
  const result = await fixture.service.submit(job, 3_000);
  assert.ok(result.kind === 'refused');
  assert.equal(result.retryAfterMs, 9_000 - (2 * 1_000 + 500));
  assert.equal(fixture.log.recordsOf('inbox').length, 0);
});
