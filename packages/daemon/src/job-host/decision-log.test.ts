import assert from 'node:assert/strict';
import { test } from 'node:test';

import { UNKNOWN_SPAN } from '@paddlewind/domain';
import {
  decodeJournal,
  encodeRecord,
  findTask,
  type InboxRecord,
} from '@paddlewind/domain/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';
import { MemoryJobLog } from '@paddlewind/stand-ins/jobs';

import { testContext } from './context.fixture.test.js';
import { DecisionLog } from './decision-log.js';
import { Replica } from './replica.js';
import { jobOf } from './simulation.fixture.test.js';

const JOB = '00000000000000d1';
const STEPS = [{ tasks: 1, after: [] }];
const QUICK = { runMs: 400, failures: 0 };

/** The log of a host that leads, on a log of jobs in memory. */
class Leading {
  readonly time = createVirtualTime();
  readonly log = new MemoryJobLog({ ...this.time, random: () => 0.5 });
  readonly replica: Replica;
  readonly decisions: DecisionLog;

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
  }
}

test('what a leader has written is not read again', async () => {
  const { time, replica, decisions } = new Leading();
  decisions.record({ kind: 'reached', worker: 'w' });
  const written = decisions.write();
  await time.advance(100);
  assert.equal(await written, true);
  assert.equal(replica.nextOffset('journal'), 1);
});

test('what is written once a leader has been replaced is read', async () => {
  const { time, log, replica, decisions } = new Leading();
  decisions.record({ kind: 'reached', worker: 'w' });
  const written = decisions.write();
  // The append is under way.
  decisions.close();
  replica.reset();
  await time.advance(100);
  assert.equal(await written, true);
  assert.equal(replica.nextOffset('journal'), 0);
  const read = replica.refresh('journal');
  await time.advance(100);
  assert.equal(await read, true);
  const kinds = log
    .recordsOf('journal')
    .map(bytes => decodeJournal(bytes)?.kind);
  assert.deepEqual(kinds, ['reached']);
  assert.ok(replica.state.reachedInEpoch.has('w'));
});

test('a decision that is not recorded when the log is closed never will be', async () => {
  const { time, decisions } = new Leading();
  const outcomes: boolean[] = [];
  decisions.record({ kind: 'reached', worker: 'w' }, written => {
    outcomes.push(written);
  });
  decisions.close();
  assert.deepEqual(outcomes, [false]);
  assert.equal(await decisions.recorded(), false);
  await time.advance(100);
});

test('what a leader has decided is not taken in again by a read that is under way', async () => {
  const { time, log, replica, decisions } = new Leading();
  const submitted: InboxRecord = {
    kind: 'submit',
    job: jobOf(JOB, STEPS, QUICK),
    atWall: 0,
  };
  void log.connect('h').append('inbox', [encodeRecord(submitted)]);
  await time.advance(100);
  const settled = replica.refresh('inbox');
  await time.advance(100);
  await settled;
  const task = { job: JOB, occurrence: 0, step: 0, index: 0 };
  decisions.record({ kind: 'start', task, run: 1, worker: 'w' });
  const written = decisions.write();
  // Asked for while the host did not lead yet, and answered once the append is in the log.
  const read = replica.refresh('journal');
  await time.advance(100);
  assert.equal(await written, true);
  await read;
  const runs = findTask(replica.state, task)?.runs.map(run => run.number);
  assert.deepEqual(runs, [1]);
});
