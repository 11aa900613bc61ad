import assert from 'node:assert/strict';
import test from 'node:test';

import { seededRandom } from '../../core/random.js';
import {
  endOf,
  makeBed,
  makeJob,
  makePolicy,
  makeWorker,
  open,
  starts,
  submit,
} from '../test-support.js';

import { plan } from './plan.js';

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
