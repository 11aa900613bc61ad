/** Which records make a job fail: the same for every reader of the journal, and once for each run. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';

import { applyInbox } from './fold.js';
import { isFinished, statusOf, type Run } from './job.js';
import { refOf, workerRuns, type JobsState } from './jobs-state.js';
import { SUSPICIONS, type Suspicion } from './loss.js';
import type { JournalRecord, RunEnd } from './records.js';
import { imageOf } from './restate.js';
import type { JobSpec } from './spec.js';
import { isAbandoned, workersLostUnder } from './suspect-tasks.js';
import {
  applyRecord,
  stateOf,
  taskOf,
  testJob,
  TERMS,
} from './test-support.js';

const JOBS: readonly JobSpec[] = [
  testJob('a', [{ tasks: 2 }]),
  testJob('b', [{ tasks: 2, gang: true }]),
  testJob('c', [{ tasks: 1, speculative: true }]),
];
const ENDS: readonly RunEnd[] = [
  'done',
  'failed',
  'failed',
  'stopped',
  'lapsed',
  'broken',
  'alone',
  'void',
];

type Action =
  | { readonly kind: 'start'; readonly job: number; readonly worker: number }
  | { readonly kind: 'end'; readonly run: number; readonly how: RunEnd }
  | {
      readonly kind: 'lose';
      readonly worker: number;
      readonly suspicion: Suspicion;
    }
  | { readonly kind: 'cancel'; readonly job: number }
  | { readonly kind: 'restate'; readonly job: number };

const job = fc.nat(JOBS.length - 1);
const worker = fc.nat(1);
const actions: fc.Arbitrary<Action[]> = fc.array(
  fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({
        kind: fc.constant('start' as const),
        job,
        worker,
      }),
    },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: fc.constant('end' as const),
        run: fc.nat(5),
        how: fc.constantFrom(...ENDS),
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constant('lose' as const),
        worker,
        suspicion: fc.constantFrom('shared' as const, ...SUSPICIONS),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({ kind: fc.constant('cancel' as const), job }),
    },
    {
      weight: 1,
      arbitrary: fc.record({ kind: fc.constant('restate' as const), job }),
    },
  ),
  { minLength: 20, maxLength: 90 },
);

/** A leader that decides as the actions say, and what it has written. */
class ScriptedLeader {
  readonly state: JobsState = stateOf(...JOBS);
  readonly journal: JournalRecord[] = [];
  /** Jobs that were cancelled, by the number of journal records before. */
  readonly cancels: [job: string, at: number][] = [];
  /** Distinct ends `failed`, by task. */
  readonly failedEnds = new Map<string, number>();

  act(action: Action): void {
    switch (action.kind) {
      case 'start':
        this.start(JOBS[action.job]?.id ?? '', `w${action.worker}`);
        return;
      case 'end': {
        const run = this.openRuns()[action.run];
        if (run !== undefined) {
          this.end(run, action.how);
        }
        return;
      }
      case 'lose':
        this.lose(`w${action.worker}`, action.suspicion);
        return;
      case 'cancel': {
        const id = JOBS[action.job]?.id ?? '';
        this.cancels.push([id, this.journal.length]);
        applyInbox(this.state, { kind: 'cancel', job: id });
        return;
      }
      case 'restate': {
        const found = this.state.jobs.get(JOBS[action.job]?.id ?? '');
        assert.ok(found);
        this.record({ kind: 'restate', image: imageOf(found, this.state) });
      }
    }
  }

  private start(id: string, on: string): void {
    const found = this.state.jobs.get(id);
    if (found === undefined || isFinished(found)) {
      return;
    }
    const { tasks, spec } = taskOf(this.state, id, 0, 0).step;
    const copies = spec.speculative ? 2 : 1;
    for (const task of tasks) {
      if (task.status !== 'done' && task.runs.length < copies) {
        const run = task.lastRun + 1;
        this.record({ kind: 'start', task: refOf(task), run, worker: on });
      }
    }
  }

  private end(run: Run, how: RunEnd): void {
    const { task, number } = run;
    if (how === 'failed') {
      const name = `${task.step.occurrence.job.spec.id}.${task.index}`;
      this.failedEnds.set(name, (this.failedEnds.get(name) ?? 0) + 1);
    }
    const ref = { task: refOf(task), run: number };
    this.record({ kind: 'end', ...ref, how, checkpoint: '' });
  }

  private lose(id: string, suspicion: Suspicion): void {
    const age = { from: 100, to: 200 };
    for (const run of [...workerRuns(this.state, id).runs.values()]) {
      const task = refOf(run.task);
      const wasAbandoned = isAbandoned(run.task);
      const lost = { task, run: run.number, checkpoint: '', suspicion, age };
      this.record({ kind: 'lost', ...lost });
      if (!wasAbandoned && isAbandoned(run.task)) {
        const workers = workersLostUnder(run.task);
        this.record({ kind: 'abandoned', task, workers });
      }
    }
  }

  private openRuns(): Run[] {
    return [...this.state.workers.values()].flatMap(({ runs }) => [
      ...runs.values(),
    ]);
  }

  private record(record: JournalRecord): void {
    this.journal.push(record);
    applyRecord(this.state, record);
  }
}

function leaderAfter(script: readonly Action[]): ScriptedLeader {
  const leader = new ScriptedLeader();
  script.forEach(action => {
    leader.act(action);
  });
  return leader;
}

/** What counts as an attempt of the tasks of a job. */
function tasksOf(state: JobsState, id: string): unknown {
  const { tasks, failedGangRuns } = taskOf(state, id, 0, 0).step;
  return [
    tasks.map(({ status, failures }) => [status, failures]),
    failedGangRuns,
  ];
}

/** What callers see of a job, and what decides whether it fails. */
function outcomeOf(state: JobsState, id: string): unknown {
  const found = state.jobs.get(id);
  assert.ok(found);
  const { failure } = found;
  return { status: statusOf(found), failure, tasks: tasksOf(state, id) };
}

// Guards against a host that shows a job as failed which the leader goes on with: it had read the cancellation
// of another job earlier than the leader, and did not discount the losses that the other job explains.
test('a job beside a cancelled one fails on all hosts or on none', () => {
  const leader = stateOf(testJob('a', [{}]), testJob('b', [{}]));
  const standby = stateOf(testJob('a', [{}]), testJob('b', [{}]));
  applyInbox(standby, { kind: 'cancel', job: 'a' });
  for (const run of [1, 2, 3, 4]) {
    for (const state of [leader, standby]) {
      const refs = ['a', 'b'].map(id => refOf(taskOf(state, id, 0, 0)));
      for (const task of refs) {
        const worker = `w${run}`;
        applyRecord(state, { kind: 'start', task, run, worker });
      }
      for (const task of refs) {
        const lost = { task, run, checkpoint: '', age: { from: 100, to: 200 } };
        applyRecord(state, { kind: 'lost', ...lost, suspicion: 'shared' });
      }
    }
  }
  assert.equal(leader.jobs.get('a')?.failure, 'workers_lost');
  assert.equal(leader.jobs.get('b')?.failure, undefined);
  assert.deepEqual(outcomeOf(standby, 'b'), outcomeOf(leader, 'b'));
});

// The same for any records and any moments at which cancellations are read.
test('when a host reads a cancellation does not decide whether other jobs fail', () => {
  const shifts = fc.array(fc.nat(100), { minLength: 30, maxLength: 30 });
  fc.assert(
    fc.property(actions, shifts, (script, readAt) => {
      const leader = leaderAfter(script);
      const reader = stateOf(...JOBS);
      const cancelled = new Set(leader.cancels.map(([id]) => id));
      const ids = [...cancelled];
      leader.journal.forEach((record, at) => {
        ids.forEach((id, nth) => {
          if (readAt[nth] === at) {
            applyInbox(reader, { kind: 'cancel', job: id });
          }
        });
        applyRecord(reader, record);
      });
      for (const { id } of JOBS.filter(spec => !cancelled.has(spec.id))) {
        assert.deepEqual(outcomeOf(reader, id), outcomeOf(leader.state, id));
      }
    }),
    { numRuns: 2_000, seed: 69 },
  );
});

// Guards against a host that shows a job as failed which the leader goes on with: it had started after the log
// had dropped the records of another job, whose task explains the losses.
test('a host that does not know an abandoned task does not blame others for its losses', () => {
  const leader = new ScriptedLeader();
  const [a, c] = [
    taskOf(leader.state, 'a', 0, 0),
    taskOf(leader.state, 'c', 0, 0),
  ];
  const reader = stateOf();
  for (const worker of [0, 1, 2, 3]) {
    leader.act({ kind: 'start', job: 0, worker });
    leader.act({ kind: 'start', job: 2, worker });
    if (worker === 3) {
      leader.act({ kind: 'restate', job: 2 });
    }
    leader.act({ kind: 'lose', worker, suspicion: 'shared' });
  }
  leader.journal.forEach(record => {
    applyRecord(reader, record);
  });
  assert.ok(isAbandoned(a));
  assert.ok(!isAbandoned(c));
  assert.equal(reader.jobs.get('a'), undefined);
  assert.deepEqual(outcomeOf(reader, 'c'), outcomeOf(leader.state, 'c'));
});

// The same for any records and any moments at which jobs are restated; also attempts are counted once.
test('a host that starts from restated jobs has them fail when the leader does', () => {
  fc.assert(
    fc.property(actions, script => {
      const leader = leaderAfter(script);
      const reader = stateOf();
      leader.journal.forEach(record => {
        applyRecord(reader, record);
      });
      for (const [id, read] of reader.jobs) {
        const decided = leader.state.jobs.get(id);
        assert.equal(read.failure, decided?.failure);
        if (read.occurrences.size > 0) {
          assert.deepEqual(tasksOf(reader, id), tasksOf(leader.state, id));
        }
      }
    }),
    { numRuns: 2_000, seed: 69 },
  );
});

// Guards against a job that fails for attempts that no worker has reported as failed.
test('a job fails for attempts only once a task has as many distinct ends as failed', () => {
  fc.assert(
    fc.property(actions, script => {
      const leader = leaderAfter(script);
      const { maxAttempts } = TERMS;
      const repeated = stateOf(...JOBS);
      for (const record of leader.journal) {
        applyRecord(repeated, record);
        if (record.kind === 'end' || record.kind === 'lost') {
          // Reported again, as by a worker whose acknowledgement was lost.
          applyRecord(repeated, record);
        }
      }
      for (const state of [leader.state, repeated]) {
        for (const { id } of JOBS) {
          const { tasks } = taskOf(state, id, 0, 0).step;
          const ends = tasks.map(
            ({ index }) => leader.failedEnds.get(`${id}.${index}`) ?? 0,
          );
          tasks.forEach(({ failures }, at) => {
            assert.ok(failures <= (ends[at] ?? 0));
          });
          if (state.jobs.get(id)?.failure === 'attempts_spent') {
            const total = ends.reduce((sum, count) => sum + count, 0);
            const most = id === 'b' ? total : Math.max(...ends);
            assert.ok(most >= maxAttempts);
          }
        }
      }
    }),
    { numRuns: 2_000, seed: 69 },
  );
});
