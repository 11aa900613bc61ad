/*
 * Guards against attempts that are counted twice: a record that is appended or applied a second time, after
 * appends or reads whose answers were lost, or by a leader that has been replaced.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { seededRandom, UNKNOWN_SPAN } from '@paddlewind/domain';
import {
  decodeJournal,
  encodeRecord,
  findTask,
  type JobSpec,
  type JobsState,
  type TaskRef,
} from '@paddlewind/domain/jobs';
import type { WriterStamp } from '@paddlewind/ports/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';
import { MemoryJobLog, type LogMode } from '@paddlewind/stand-ins/jobs';

import { testContext } from './context.fixture.test.js';
import { DecisionLog } from './decision-log.js';
import { Replica } from './replica.js';
import { jobOf } from './simulation.fixture.test.js';

const ID = '00000000000000d3';
const TASKS = 3;
const EPOCHS = 5;
const EPOCH_MS = 10_000;
const TICK_MS = 40;
const MODE_MS = 500;
const MODES: readonly LogMode[] = [
  'up',
  'losing',
  'losing',
  'refusing',
  'resetting',
  'silent',
];

/** A job whose attempts are never spent. */
function endlessJob(): JobSpec {
  const script = { runMs: 400, failures: 0 };
  const job = jobOf(ID, [{ tasks: TASKS, after: [] }], script);
  return { ...job, terms: { ...job.terms, maxAttempts: Infinity } };
}

function refsOfTasks(): TaskRef[] {
  return Array.from({ length: TASKS }, (_, index) => ({
    job: ID,
    occurrence: 0,
    step: 0,
    index,
  }));
}

/** Leaders that replace each other and go on until the log refuses them, and a host that follows. */
class Succession {
  readonly time = createVirtualTime();
  readonly random;
  readonly log: MemoryJobLog;
  readonly standby: Replica;
  private isOver = false;

  constructor(seed: number) {
    this.random = seededRandom(seed);
    this.log = new MemoryJobLog({ ...this.time, random: this.random });
    this.standby = this.newReplica('standby');
  }

  async play(): Promise<void> {
    const submitted = { kind: 'submit', job: endlessJob(), atWall: 0 } as const;
    void this.log.connect('h').append('inbox', [encodeRecord(submitted)]);
    void this.follow();
    for (let epoch = 1; epoch <= EPOCHS; epoch += 1) {
      void this.lead(epoch);
      const end = this.time.clock() + EPOCH_MS;
      while (this.time.clock() < end) {
        this.changeModes(epoch);
        await this.time.advance(MODE_MS);
      }
    }
    this.isOver = true;
    this.log.hostModes.clear();
    this.log.appendMs = 0;
    await this.time.advance(2 * EPOCH_MS);
  }

  /** Returns the state of a host that reads everything at the end. */
  async readAnew(): Promise<JobsState> {
    const replica = this.newReplica('late');
    void replica.refresh('inbox');
    void replica.refresh('journal');
    await this.time.advance(1_000);
    return replica.state;
  }

  private newReplica(host: string): Replica {
    return new Replica(testContext(this.time), this.log.connect(host));
  }

  private async lead(epoch: number): Promise<void> {
    const host = `h${epoch}`;
    const jobLog = this.log.connect(host);
    const nonce = Math.floor(this.random() * 1_000);
    const stamp = { writer: 'leader', epoch, sequence: nonce };
    const replica = await this.claim(host, stamp);
    const { clock } = this.time;
    const decisions = new DecisionLog(testContext(this.time), jobLog, replica, {
      epoch,
      firstFence: epoch,
      nonce,
      nextStamp: { ...stamp, sequence: nonce + 1 },
      sentAt: clock(),
      wonAt: clock(),
      silence: UNKNOWN_SPAN,
    });
    for (let writes = true; writes && !this.isOver;) {
      await this.pause(TICK_MS);
      this.decide(replica.state, decisions, epoch);
      writes = decisions.isEmpty || (await decisions.write());
    }
  }

  /** Claims the leadership, and reads the journal up to the claim. */
  private async claim(host: string, stamp: WriterStamp): Promise<Replica> {
    const { epoch, sequence: nonce } = stamp;
    const record = { kind: 'claim', epoch, host, nonce } as const;
    const jobLog = this.log.connect(host);
    for (;;) {
      const found = await jobLog.append(
        'journal',
        [encodeRecord(record)],
        stamp,
      );
      if (found.kind === 'appended') {
        const replica = this.newReplica(host);
        while (replica.nextOffset('journal') < found.nextOffset) {
          await replica.refresh('inbox');
          await replica.refresh('journal');
        }
        return replica;
      }
    }
  }

  /** Starts or ends a run of each task, or lets it be. */
  private decide(
    state: JobsState,
    decisions: DecisionLog,
    epoch: number,
  ): void {
    for (const task of refsOfTasks()) {
      const found = findTask(state, task);
      const run = found?.runs[0]?.number;
      const draw = this.random();
      if (found === undefined || draw < 0.3) {
        continue;
      }
      if (run === undefined) {
        const next = found.lastRun + 1;
        const worker = `w${epoch}`;
        decisions.record({ kind: 'start', task, run: next, worker });
      } else {
        const how = draw < 0.8 ? 'failed' : 'lapsed';
        decisions.record({ kind: 'end', task, run, how, checkpoint: '' });
      }
    }
  }

  private async follow(): Promise<never> {
    for (;;) {
      void this.standby.refresh('journal');
      void this.standby.readToEnd('journal', this.random() < 0.5 ? 0 : TICK_MS);
      await this.pause(TICK_MS);
    }
  }

  /** Changes how the log treats each host; half of the modes are free of faults. */
  private changeModes(epoch: number): void {
    this.log.appendMs = this.random() < 0.1 ? 4 * TICK_MS : 0;
    const leaders = Array.from({ length: epoch }, (_, at) => `h${at + 1}`);
    for (const host of ['standby', ...leaders]) {
      const mode = MODES[Math.floor(this.random() * MODES.length * 2)];
      this.log.hostModes.set(host, mode ?? 'up');
    }
  }

  private pause(span: number): Promise<void> {
    return new Promise(resolve => {
      this.time.schedule(span, resolve);
    });
  }
}

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`each end as failed counts once, over changes of leaders and lost answers, seed ${seed}`, async () => {
    const site = new Succession(seed);
    await site.play();
    const records = site.log.recordsOf('journal').map(decodeJournal);
    const starts: string[] = [];
    const failed = new Map<number, Set<number>>();
    const epochs: number[] = [];
    for (const record of records) {
      if (record?.kind === 'start') {
        starts.push(`${record.task.index}#${record.run}`);
        epochs.push(Number(record.worker.slice(1)));
      }
      if (record?.kind === 'end' && record.how === 'failed') {
        const { index } = record.task;
        failed.set(index, (failed.get(index) ?? new Set()).add(record.run));
      }
    }
    assert.equal(new Set(starts).size, starts.length);
    assert.deepEqual(
      epochs,
      [...epochs].sort((a, b) => a - b),
    );
    assert.equal(new Set(epochs).size, EPOCHS);
    for (const state of [site.standby.state, await site.readAnew()]) {
      for (const ref of refsOfTasks()) {
        const task = findTask(state, ref);
        assert.ok(task);
        assert.equal(task.failures, failed.get(ref.index)?.size ?? 0);
        assert.ok(task.runs.length <= 1);
      }
    }
  });
}
