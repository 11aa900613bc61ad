import assert from 'node:assert/strict';
import { test } from 'node:test';

import { encodeRecord, type RunEnd } from '@paddlewind/domain/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';
import { MemoryJobLog } from '@paddlewind/stand-ins/jobs';

import { testContext } from './context.fixture.test.js';
import { JobService, type StatusResult } from './job-service.js';
import { Replica } from './replica.js';
import { jobOf } from './simulation.fixture.test.js';

const ID = '00000000000000b1';
const TASK = { job: ID, occurrence: 0, step: 0, index: 0 };

/** A host that follows, and a log in which others write. */
class Following {
  readonly time = createVirtualTime();
  readonly log = new MemoryJobLog({ ...this.time, random: () => 0.5 });
  readonly replica: Replica;
  readonly service: JobService;

  constructor() {
    const ctx = testContext(this.time);
    const jobLog = this.log.connect('h');
    this.replica = new Replica(ctx, jobLog);
    this.service = new JobService(ctx, jobLog, this.replica, () => undefined);
  }

  /** Another host accepts the job, and this one learns of it. */
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

  /** The leader records the run of the job's only task. */
  async recordRun(how: RunEnd): Promise<void> {
    const records = [
      encodeRecord({ kind: 'start', task: TASK, run: 1, worker: 'w' }),
      encodeRecord({ kind: 'end', task: TASK, run: 1, how, checkpoint: '' }),
    ];
    void this.log.connect('other').append('journal', records);
    await this.time.advance(100);
  }

  async status(): Promise<StatusResult> {
    const asked = this.service.status(ID);
    await this.time.advance(2_000);
    return asked;
  }
}

test('a host that follows tells of an end that it has not read yet', async () => {
  const site = new Following();
  await site.learnJob();
  await site.recordRun('done');
  assert.deepEqual(await site.status(), { kind: 'known', status: 'completed' });
});

test('a host that follows tells no state while it cannot read the journal', async () => {
  const site = new Following();
  await site.learnJob();
  site.log.hostStreamModes.set('h journal', 'unreadable');
  assert.deepEqual(await site.status(), { kind: 'unavailable' });
});

test('a host that follows tells of an end that it knows without a read', async () => {
  const site = new Following();
  await site.learnJob();
  await site.recordRun('done');
  void site.replica.refresh('journal');
  await site.time.advance(100);
  site.log.hostStreamModes.set('h journal', 'unreadable');
  assert.deepEqual(await site.status(), { kind: 'known', status: 'completed' });
});
