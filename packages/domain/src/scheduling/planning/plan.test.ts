import assert from 'node:assert/strict';
import test from 'node:test';

import { seededRandom } from '../../core/random.js';
import { describeJob } from '../describe.js';
import { decision, type Decision } from '../records.js';
import { expectedSeconds } from '../shard.js';
import {
  OTHER_SHARD,
  SHARD,
  endOf,
  makeBed,
  makeJob,
  makePolicy,
  makeWorker,
  open,
  starts,
  submit,
} from '../test-support.js';

import { observeWorker } from './learn.js';
import { plan } from './plan.js';

const WHOLE = { cpu: 4, memoryMiB: 1_024 };

function ids(decisions: readonly Decision[]): string[] {
  return decisions.map(each => each.id);
}

test('starts fill a worker and no more', () => {
  const bed = makeBed([makeWorker('w1')]);
  submit(bed, makeJob('j', { tasks: 9 }));
  assert.equal(starts(bed.plan()).length, 4);
  assert.equal(bed.plan().length, 0);
  bed.append(endOf('j/0'));
  assert.deepEqual(starts(bed.plan()), ['j/4@w1']);
});

test('decisions not folded yet count against the room', () => {
  const bed = makeBed([makeWorker('w1')]);
  submit(bed, makeJob('j', { tasks: 9 }));
  const random = seededRandom(1);
  const pending = plan(bed.state, bed.view, bed.now, random);
  assert.equal(pending.length, 4);
  const again = plan(bed.state, { ...bed.view, pending }, bed.now, random);
  assert.deepEqual(again, []);
});

test('nothing is decided without the log or under another epoch', () => {
  const bed = makeBed([makeWorker('w1')], { logAvailable: false });
  submit(bed, makeJob('j'));
  assert.deepEqual(bed.plan(), []);
  bed.view = { ...bed.view, logAvailable: true };
  bed.append(open(2));
  assert.deepEqual(bed.plan(), []);
});

test('the reserve of services is kept free', () => {
  const reserved = { cpu: 3, memoryMiB: 0, accelerators: 0 };
  const bed = makeBed([makeWorker('w1', { reserved })]);
  submit(bed, makeJob('j', { tasks: 9 }));
  assert.equal(starts(bed.plan()).length, 1);
});

test('workers that drain, leave or must not take batch work get none', () => {
  const bed = makeBed([
    makeWorker('w1', { availability: 'drained' }),
    makeWorker('w2', { availability: 'leaving' }),
    makeWorker('w3', { availability: 'unreachable' }),
    makeWorker('w4', { avoidBatch: true }),
  ]);
  submit(bed, makeJob('j', { tasks: 9 }));
  assert.deepEqual(starts(bed.plan()), []);
});

test('teams share by dominant resource whatever the number of their jobs', () => {
  const bed = makeBed([makeWorker('w1'), makeWorker('w2')]);
  for (let i = 0; i < 8; i++) {
    submit(bed, makeJob(`split-${i}`, { team: 'many' }));
  }
  submit(bed, makeJob('whole', { team: 'one', tasks: 8 }));
  const made = starts(bed.plan());
  assert.equal(made.length, 8);
  assert.equal(made.filter(each => each.startsWith('whole')).length, 4);
});

test('a team stays within its allotment', () => {
  const allotment = { cpu: 2, memoryMiB: 8_192, accelerators: 0 };
  const bed = makeBed([makeWorker('w1')], {
    teams: [{ name: 'team-a', weight: 1, allotment }],
  });
  submit(bed, makeJob('j', { tasks: 9 }));
  assert.equal(starts(bed.plan()).length, 2);
});

test('urgent work goes first', () => {
  const bed = makeBed([makeWorker('w1')], {
    policies: [makePolicy('now', { priority: 'urgent' })],
  });
  submit(bed, makeJob('batch', { tasks: 9 }));
  submit(bed, makeJob('urgent', { tasks: 2, labels: { work: 'now' } }));
  const made = starts(bed.plan());
  assert.deepEqual(made.slice(0, 2), ['urgent/0@w1', 'urgent/1@w1']);
});

test('tasks of a job spread over racks', () => {
  const bed = makeBed([
    makeWorker('w1', { rack: 'r1' }),
    makeWorker('w2', { rack: 'r2' }),
    makeWorker('w3', { rack: 'r3' }),
  ]);
  submit(bed, makeJob('j', { tasks: 3 }));
  const workers = starts(bed.plan()).map(each => each.split('@')[1]);
  assert.equal(new Set(workers).size, 3);
});

test('urgent work evicts the cheapest preemptible work and takes its place', () => {
  const policies = [
    makePolicy('now', { priority: 'urgent' }),
    makePolicy('spare', { priority: 'low', preemptible: true }),
  ];
  const bed = makeBed([makeWorker('w1')], { policies });
  submit(bed, makeJob('fixed', { tasks: 2 }));
  submit(bed, makeJob('old', { labels: { work: 'spare' } }));
  bed.plan();
  bed.now += 60_000;
  submit(bed, makeJob('young', { labels: { work: 'spare' } }));
  bed.plan();
  bed.now += 1_000;
  submit(bed, makeJob('urgent', { labels: { work: 'now' } }));
  assert.deepEqual(ids(bed.plan()), ['evict:young/0:1:1']);
  assert.deepEqual(bed.plan(), []);
  submit(bed, makeJob('late', { labels: { work: 'spare' } }));
  bed.append(endOf('young/0', { result: 'stopped', checkpoint: 'c' }));
  assert.deepEqual(starts(bed.plan()), ['urgent/0@w1']);
});

test('evictions stay within the budget of the policy', () => {
  const policies = [
    makePolicy('now', { priority: 'urgent' }),
    makePolicy('spare', { preemptible: true, evictionsPerHour: 1 }),
  ];
  const bed = makeBed([makeWorker('w1')], { policies });
  submit(bed, makeJob('s', { size: WHOLE, labels: { work: 'spare' } }));
  bed.plan();
  submit(bed, makeJob('u1', { size: WHOLE, labels: { work: 'now' } }));
  assert.equal(bed.plan().length, 1);
  bed.append(endOf('s/0', { result: 'stopped' }));
  assert.deepEqual(starts(bed.plan()), ['u1/0@w1']);
  bed.append(endOf('u1/0'));
  bed.plan();
  submit(bed, makeJob('u2', { size: WHOLE, labels: { work: 'now' } }));
  assert.deepEqual(bed.plan(), []);
  bed.now += 3_600_001;
  assert.equal(bed.plan()[0]?.kind, 'task_evicting');
});

test('a large task claims room that small ones would take for ever', () => {
  const bed = makeBed([makeWorker('w1')]);
  submit(bed, makeJob('small-0', { tasks: 4, expectedSeconds: 600 }));
  bed.plan();
  submit(bed, makeJob('large', { size: WHOLE }));
  bed.now += 20_000;
  submit(bed, makeJob('small-1', { tasks: 100, expectedSeconds: 600 }));
  for (let i = 0; i < 4; i++) {
    assert.deepEqual(starts(bed.plan()), []);
    bed.append(endOf(`small-0/${i}`, { atWall: bed.now }));
  }
  assert.deepEqual(starts(bed.plan()), ['large/0@w1']);
});

test('a claim is met however far back its task stands in the order', () => {
  const bed = makeBed([makeWorker('w1'), makeWorker('w2')]);
  submit(bed, makeJob('keep', { size: WHOLE, expectedSeconds: 9_000 }));
  submit(bed, makeJob('first', { tasks: 4 }));
  assert.equal(starts(bed.plan()).length, 5);
  submit(bed, makeJob('large', { size: WHOLE }));
  bed.now += 20_000;
  submit(bed, makeJob('small'));
  const endOne = (index: number) => {
    bed.append(endOf(`first/${index}`, { atWall: bed.now }));
    return starts(bed.plan());
  };
  assert.deepEqual(endOne(0), []);
  for (let i = 0; i < 400; i++) {
    const size = { cpu: 2 - i / 400, memoryMiB: 8 };
    submit(bed, makeJob(`b${i}`, { team: 'team-b', size }));
  }
  assert.deepEqual([endOne(1), endOne(2)], [[], []]);
  assert.equal(endOne(3)[0]?.split('@')[0], 'large/0');
});

test('an impossible job is answered with the reason and blocks nobody', () => {
  const bed = makeBed([makeWorker('w1')]);
  submit(bed, makeJob('huge', { size: { cpu: 64, memoryMiB: 1 } }));
  const gpu = { labels: { gpu: 'yes' }, conditions: [] };
  submit(bed, makeJob('none', { workers: gpu }));
  submit(bed, makeJob('j'));
  const made = bed.plan();
  assert.deepEqual(starts(made), ['j/0@w1']);
  const reasons = ['huge', 'none'].map(
    job => describeJob(bed.state, job)?.reason,
  );
  assert.deepEqual(reasons, [
    'A task needs 64 cores; the largest worker offers 4.',
    'No worker matches its selector.',
  ]);
  assert.deepEqual(bed.plan(), []);
  const workers = [makeWorker('w1'), makeWorker('w2', { labels: gpu.labels })];
  bed.view = { ...bed.view, workers };
  assert.deepEqual(starts(bed.plan()), ['none/0@w2']);
});

test('a job that fits only elsewhere is moved there whole', () => {
  const big = makeWorker('b1', {
    capacity: { cpu: 64, memoryMiB: 65_536, accelerators: 0 },
  });
  const siblings = [{ shard: OTHER_SHARD, workers: [big] }];
  const bed = makeBed([makeWorker('w1')], { siblings });
  const size = { cpu: 32, memoryMiB: 1 };
  submit(bed, makeJob('big', { tasks: 500, size }));
  const moves = bed.plan().filter(each => each.kind === 'task_moved');
  assert.equal(moves.length, 1);
  assert.equal(moves[0]?.body.count, 500);
  assert.equal(describeJob(bed.state, 'big')?.moved, 500);
});

test('a worker that fails unrelated jobs is quarantined, probed and released', () => {
  const bed = makeBed([makeWorker('w1')]);
  for (const job of ['a', 'b', 'c']) {
    submit(bed, makeJob(job));
  }
  assert.equal(starts(bed.plan()).length, 3);
  for (const job of ['a', 'b', 'c']) {
    bed.append(endOf(`${job}/0`, { result: 'failed' }));
  }
  assert.deepEqual(ids(bed.plan()), ['quarantine:w1:0:1']);
  bed.now += 30_000;
  assert.deepEqual(bed.plan(), []);
  bed.now += 30_001;
  const [probe, ...others] = starts(bed.plan());
  assert.equal(probe, 'a/0@w1');
  assert.deepEqual(others, []);
  bed.append(endOf('a/0', { attempt: 2, atWall: bed.now }));
  const released = bed.plan();
  assert.equal(released[0]?.kind, 'worker_released');
  assert.equal(starts([...released, ...bed.plan()]).length, 2);
});

test('a failed probe doubles the quarantine', () => {
  const bed = makeBed([makeWorker('w1')]);
  for (const job of ['a', 'b', 'c']) {
    submit(bed, makeJob(job));
  }
  bed.plan();
  for (const job of ['a', 'b', 'c']) {
    bed.append(endOf(`${job}/0`, { result: 'failed' }));
  }
  bed.plan();
  bed.now += 60_001;
  bed.plan();
  bed.append(endOf('a/0', { attempt: 2, result: 'failed' }));
  const again = bed.plan()[0];
  assert.equal(again?.kind, 'worker_quarantined');
  assert.equal(again.body.untilWall, bed.now + 120_000);
});

test('a job that fails on healthy workers is held and frees them', () => {
  const bed = makeBed(['w1', 'w2', 'w3'].map(id => makeWorker(id)));
  submit(bed, makeJob('bad', { tasks: 12, maxAttempts: 9 }));
  bed.plan();
  for (let i = 0; i < 12; i++) {
    bed.append(endOf(`bad/${i}`, { result: 'failed' }));
  }
  assert.deepEqual(ids(bed.plan()), ['hold-job:bad:0:1']);
  bed.now += 600_000;
  assert.deepEqual(bed.plan(), []);
  bed.append(decision('job_released', { job: 'bad', request: 'r' }));
  assert.equal(starts(bed.plan()).length, 12);
});

test('work on workers that drain is moved off them', () => {
  const bed = makeBed([makeWorker('w1')]);
  submit(bed, makeJob('j'));
  bed.plan();
  const drained = makeWorker('w1', { availability: 'drained' });
  bed.view = { ...bed.view, workers: [drained, makeWorker('w2')] };
  assert.deepEqual(ids(bed.plan()), ['evict:j/0:1:1']);
  assert.deepEqual(bed.plan(), []);
  bed.append(endOf('j/0', { result: 'stopped', checkpoint: 'c' }));
  assert.deepEqual(starts(bed.plan()), ['j/0@w2']);
});

test('observed use above the declared size is learnt and set aside', () => {
  const bed = makeBed([makeWorker('w1')]);
  submit(bed, makeJob('j', { tasks: 9 }));
  const seen = starts(bed.plan()).slice(0, 2);
  assert.equal(seen.length, 2);
  const usage = { cpu: 1.5, memoryMiB: 1_024, accelerators: 0 };
  for (let i = 0; i < 4; i++) {
    bed.now += 30_000;
    const report = [{ task: 'j/0', attempt: 1, usage, progress: 0 }];
    observeWorker(bed.state, SHARD, 'w1', report, 10_000, bed.now);
  }
  for (const task of ['j/1', 'j/2', 'j/3']) {
    bed.append(endOf(task));
  }
  const made = bed.plan();
  assert.equal(starts(made).length, 1);
  const [start] = made;
  assert.equal(start?.kind === 'task_started' && start.body.size?.cpu, 1.5);
});

test('what a job teaches of its like is a factor of what they declare', () => {
  const bed = makeBed([makeWorker('w1')]);
  submit(bed, makeJob('short', { expectedSeconds: 10 }));
  submit(bed, makeJob('long', { expectedSeconds: 1_000 }));
  bed.plan();
  bed.append(endOf('short/0', { atWall: bed.now + 20_000 }));
  const schedule = bed.state.shards.get(SHARD);
  const long = schedule?.jobs.get('long');
  assert.ok(schedule && long);
  assert.equal(expectedSeconds(schedule, long), 2_000);
});

test('spare quota is lent to the shard that lacks it', () => {
  const allotment = { cpu: 4, memoryMiB: 8_192, accelerators: 0 };
  const teams = [{ name: 'team-a', weight: 1, allotment }];
  const siblings = [{ shard: OTHER_SHARD, workers: [] }];
  const bed = makeBed([makeWorker('w1')], { teams, siblings });
  bed.append(open(1, OTHER_SHARD));
  bed.append(
    decision('shard_reported', {
      shard: OTHER_SHARD,
      epoch: 1,
      atWall: bed.now,
      free: allotment,
      waiting: allotment,
      lacking: { 'team-a': { cpu: 3, memoryMiB: 1_024 } },
    }),
  );
  const [lent] = bed.plan();
  assert.equal(lent?.kind === 'quota_lent' && lent.body.amount.cpu, 3);
  submit(bed, makeJob('j', { tasks: 9 }));
  assert.equal(starts(bed.plan()).length, 1);
});
