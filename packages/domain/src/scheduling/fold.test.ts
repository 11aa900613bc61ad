import assert from 'node:assert/strict';
import test from 'node:test';

import { describeJob } from './describe.js';
import { applyRecord } from './fold.js';
import { decision } from './records.js';
import { exportSchedule, importSchedule } from './snapshot.js';
import { createScheduleState } from './state.js';
import {
  OTHER_SHARD,
  SHARD,
  endOf,
  makeBed,
  makeJob,
  makeWorker,
  open,
  startOf,
  submit,
} from './test-support.js';

const APPLIED = { kind: 'applied' };

function voided(reason: string) {
  return { kind: 'void', reason };
}

test('a task is started once and finished once', () => {
  const bed = makeBed([]);
  submit(bed, makeJob('j'));
  assert.deepEqual(bed.append(startOf('j/0')), APPLIED);
  assert.deepEqual(bed.append(startOf('j/0')), voided('out_of_turn'));
  const second = startOf('j/0', { attempt: 2, worker: 'w2' });
  assert.deepEqual(bed.append(second), voided('out_of_turn'));
  assert.deepEqual(bed.append(endOf('j/0')), APPLIED);
  const failed = endOf('j/0', { result: 'failed' });
  assert.deepEqual(bed.append(failed), voided('not_found'));
  assert.deepEqual(bed.append(second), voided('not_found'));
  assert.equal(describeJob(bed.state, 'j')?.phase, 'completed');
});

test('decisions of a superseded epoch are void', () => {
  const bed = makeBed([]);
  submit(bed, makeJob('j'));
  assert.deepEqual(bed.append(open(2)), APPLIED);
  assert.deepEqual(bed.append(open(1)), voided('superseded'));
  assert.deepEqual(bed.append(startOf('j/0')), voided('superseded'));
  const valid = startOf('j/0', { epoch: 2 });
  assert.deepEqual(bed.append(valid), APPLIED);
});

test('an evicted task resumes exactly once, from its recorded checkpoint', () => {
  const bed = makeBed([]);
  submit(bed, makeJob('j'));
  bed.append(startOf('j/0'));
  bed.append(endOf('j/0', { result: 'stopped', checkpoint: 'c1' }));
  const bare = startOf('j/0', { attempt: 2 });
  assert.deepEqual(bed.append(bare), voided('out_of_turn'));
  const resumed = startOf('j/0', { attempt: 2, checkpoint: 'c1' });
  assert.deepEqual(bed.append(resumed), APPLIED);
  assert.deepEqual(bed.append(resumed), voided('out_of_turn'));
});

test('a job has one home and is submitted once', () => {
  const bed = makeBed([]);
  const job = makeJob('j');
  const elsewhere = { job, shard: OTHER_SHARD, submittedAtWall: 1 };
  bed.append(decision('job_submitted', elsewhere));
  assert.deepEqual(submit(bed, job), voided('duplicate'));
  assert.equal(describeJob(bed.state, 'j'), undefined);
});

test('cancelling drops what waits and stops what runs', () => {
  const bed = makeBed([]);
  submit(bed, makeJob('j', { tasks: 3 }));
  bed.append(startOf('j/0'));
  bed.append(decision('job_cancelled', { job: 'j' }));
  const described = describeJob(bed.state, 'j');
  assert.equal(described?.phase, 'cancelling');
  assert.equal(described.tasks[0]?.state, 'evicting');
  bed.append(endOf('j/0', { result: 'stopped' }));
  assert.equal(describeJob(bed.state, 'j')?.phase, 'cancelled');
  assert.equal(describeJob(bed.state, 'j')?.cancelled, 3);
});

test('a moved task has one holder, and a late repeat makes no second', () => {
  const job = makeJob('j', { tasks: 2 });
  const a = makeBed([]);
  submit(a, job);
  const moved = decision('task_moved', {
    task: 'j/1',
    fromShard: SHARD,
    toShard: OTHER_SHARD,
    epoch: 1,
    move: 0,
    job,
    submittedAtWall: 5,
  });
  a.append(moved);
  a.append(moved);
  const b = createScheduleState([OTHER_SHARD]);
  a.records.push(open(1, OTHER_SHARD));
  a.records.push(
    startOf('j/1', { shard: OTHER_SHARD }),
    endOf('j/1', { shard: OTHER_SHARD }),
    moved,
  );
  a.records.forEach((record, offset) => {
    applyRecord(b, record, { offset, index: 0 });
  });
  assert.equal(describeJob(a.state, 'j')?.queued, 1);
  assert.equal(describeJob(b, 'j')?.phase, 'completed');
  assert.equal(describeJob(b, 'j')?.queued, 0);
});

test('a task of a cancelled job moves nowhere, whichever shards are folded', () => {
  const job = makeJob('j', { tasks: 2 });
  const b = createScheduleState([OTHER_SHARD]);
  const records = [
    open(1),
    decision('job_cancelled', { job: 'j' }),
    decision('task_moved', {
      task: 'j/0',
      count: 2,
      fromShard: SHARD,
      toShard: OTHER_SHARD,
      epoch: 1,
      move: 0,
      job,
      submittedAtWall: 5,
    }),
  ];
  records.forEach((record, offset) => {
    applyRecord(b, record, { offset, index: 0 });
  });
  assert.equal(describeJob(b, 'j'), undefined);
  assert.equal(b.shards.get(OTHER_SHARD)?.arrivalCount, 0);
  assert.equal(b.voided, 1);
});

test('failures back off and end at the attempt limit', () => {
  const bed = makeBed([]);
  submit(bed, makeJob('j', { maxAttempts: 2 }));
  bed.append(startOf('j/0'));
  bed.append(endOf('j/0', { result: 'failed' }));
  const task = bed.state.shards.get(SHARD)?.jobs.get('j')?.tasks.get(0);
  assert.deepEqual(task?.state, { kind: 'queued', readyAtWall: 1_005_000 });
  bed.append(startOf('j/0', { attempt: 2 }));
  bed.append(endOf('j/0', { attempt: 2, result: 'failed' }));
  assert.equal(describeJob(bed.state, 'j')?.phase, 'failed');
});

test('a task of a lost worker is held or resumed as its job says', () => {
  const bed = makeBed([]);
  submit(bed, makeJob('hold', { onLostWorker: 'hold' }));
  submit(bed, makeJob('resume'));
  for (const job of ['hold', 'resume']) {
    bed.append(startOf(`${job}/0`));
    bed.append(endOf(`${job}/0`, { result: 'lost' }));
  }
  assert.equal(describeJob(bed.state, 'hold')?.phase, 'held');
  assert.equal(describeJob(bed.state, 'resume')?.phase, 'queued');
  bed.append(decision('job_released', { job: 'hold', request: 'r1' }));
  assert.equal(describeJob(bed.state, 'hold')?.phase, 'queued');
});

test('malformed records are counted and change nothing', () => {
  const bed = makeBed([]);
  submit(bed, makeJob('j'));
  const before = JSON.stringify(exportSchedule(bed.state).slice(1));
  const bodies = [null, 7, {}, { shard: SHARD }, { shard: SHARD, epoch: -1 }];
  bodies.forEach((body, index) => {
    const record = { id: 'x', kind: 'task_started', body };
    applyRecord(bed.state, record, { offset: 100, index });
  });
  assert.equal(bed.state.malformed, bodies.length);
  assert.equal(JSON.stringify(exportSchedule(bed.state).slice(1)), before);
});

test('a snapshot restores an equal state', () => {
  const bed = makeBed([makeWorker('w1')]);
  submit(bed, makeJob('j', { tasks: 6 }));
  bed.plan();
  bed.append(endOf('j/1', { result: 'failed' }));
  bed.append(endOf('j/2', { result: 'stopped', checkpoint: 'c' }));
  const chunks: unknown = JSON.parse(JSON.stringify(exportSchedule(bed.state)));
  const restored = importSchedule(chunks as unknown[]).unwrapOr(undefined);
  assert.ok(restored);
  assert.deepEqual(
    JSON.stringify(exportSchedule(restored)),
    JSON.stringify(exportSchedule(bed.state)),
  );
  const use = (state: typeof restored) =>
    state.shards.get(SHARD)?.workers.get('w1')?.used;
  assert.deepEqual(use(restored), use(bed.state));
});

test('a snapshot that lacks its head is refused', () => {
  const bed = makeBed([]);
  submit(bed, makeJob('j'));
  assert.ok(importSchedule(exportSchedule(bed.state).slice(1)).isErr);
  assert.ok(importSchedule([]).isErr);
});
