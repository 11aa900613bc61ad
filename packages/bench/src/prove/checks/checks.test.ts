import assert from 'node:assert/strict';
import test from 'node:test';

import { inOrder, type History, type HistoryEvent } from '../history.js';
import { CHECKS } from './index.js';

const SIZE = { cpu: 8, memoryMiB: 1_024, accelerators: 0 };
const CAPACITY = { cpu: 16, memoryMiB: 61_440, accelerators: 0 };

/** The parts of an event that a test cares about; the rest is filled in. */
type Sketch = Partial<HistoryEvent> & Pick<HistoryEvent, 'type' | 'at'>;

function began(at: number, task: string, attempt: number, more: object = {}) {
  const where = { worker: 'w1', boot: 'b1', shard: 's', epoch: 1 };
  const what = { job: 'j', task, attempt, size: SIZE, resumedAt: 0 };
  return { type: 'task_began', at, ...where, ...what, ...more } as Sketch;
}

function ended(at: number, task: string, attempt: number, more: object = {}) {
  const where = { worker: 'w1', boot: 'b1', task, attempt };
  const how = { end: 'completed', progress: 1 };
  return { type: 'task_ended', at, ...where, ...how, ...more } as Sketch;
}

function sent(at: number, request: string, more: object = {}) {
  const what = { request, entry: 'e1', idempotent: false };
  return { type: 'request_sent', at, ...what, ...more } as Sketch;
}

function done(at: number, request: string, end: object) {
  return { type: 'request_done', at, request, entry: 'e1', end } as Sketch;
}

function reached(at: number, request: string, more: object = {}) {
  const what = { request, backend: 'w2', method: 'POST' };
  return { type: 'request_began', at, ...what, ...more } as Sketch;
}

function seen(at: number, offset: number, more: object = {}) {
  const what = { entry: 'e1', offset, ready: true };
  return { type: 'config_seen', at, ...what, ...more } as Sketch;
}

function history(...sketches: Sketch[]): History {
  return inOrder(sketches as HistoryEvent[]);
}

const ANSWERED = { kind: 'answered', status: 200, own: true };
const NOT_RUN = { kind: 'refused', status: 503, outcome: 'not_run' };
const STOPPED = { end: 'stopped', progress: 0.5 };

/** A run in which every promise is tried and kept. */
const SOUND: readonly Sketch[] = [
  { type: 'worker_up', at: 0, worker: 'w1', boot: 'b1', capacity: CAPACITY },
  { type: 'service_placed', at: 0, worker: 'w1', service: 'm', size: SIZE },
  { type: 'job_submitted', at: 1, job: 'j', tasks: 2, onLostWorker: 'hold' },
  { type: 'shard_claimed', at: 1, shard: 's', epoch: 1, owner: 'e1' },
  began(10, 't1', 1),
  ended(20, 't1', 1, STOPPED),
  began(21, 't1', 2, { resumedAt: 0.5 }),
  ended(30, 't1', 2),
  began(31, 't2', 1),
  ended(40, 't2', 1),
  sent(50, 'r1'),
  reached(51, 'r1'),
  done(52, 'r1', ANSWERED),
  sent(53, 'r2'),
  done(54, 'r2', NOT_RUN),
  { type: 'host_listed', at: 60, host: 'w2', state: 'leaving' },
  { type: 'config_accepted', at: 70, object: 'team/a', base: 0, offset: 4 },
  seen(71, 4),
  seen(72, 5),
  { type: 'fault_began', at: 80, fault: 'entry_stopped', target: 'e2' },
  { type: 'entry_exited', at: 90, entry: 'e2', code: 0 },
  { type: 'settled', at: 100_000 },
];

test('every check tries something and passes a sound run', () => {
  for (const { name, check } of CHECKS) {
    const { checked, violations } = check(history(...SOUND));
    assert.deepEqual(violations, [], name);
    assert.ok(checked > 0, name);
  }
});

/** What breaks each promise when it is added to the sound run. */
const PLANTED: Record<string, Record<string, readonly Sketch[]>> = {
  capacity: {
    'a second task on a full worker': [
      began(32, 't3', 1, { job: 'k' }),
      ended(33, 't3', 1),
    ],
  },
  one_place: {
    'an attempt beside a running one': [
      began(15, 't1', 3, { worker: 'w3', boot: 'b3' }),
      ended(25, 't1', 3, { worker: 'w3', boot: 'b3', ...STOPPED }),
    ],
  },
  resume_once: {
    'a stopped task that is left': [
      began(41, 't2', 2),
      ended(42, 't2', 2, STOPPED),
    ],
    'an evicted attempt that starts twice, though the agent restarted': [
      began(20.5, 't1', 1, { boot: 'b2' }),
      ended(20.6, 't1', 1, { boot: 'b2' }),
    ],
    'an attempt that starts twice': [
      began(22, 't1', 2, { worker: 'w3', boot: 'b3' }),
    ],
  },
  finish_once: {
    'a task that runs again': [began(45, 't2', 2), ended(46, 't2', 2)],
    'a held task that is lost and runs again': [
      began(45, 't3', 1),
      ended(46, 't3', 1, { end: 'agent_restarted' }),
      began(47, 't3', 1, { boot: 'b2' }),
      ended(48, 't3', 1, { boot: 'b2' }),
    ],
  },
  own_answer: {
    "another caller's answer": [
      sent(55, 'r3'),
      done(56, 'r3', { ...ANSWERED, own: false }),
    ],
    'an answer that breaks without a cause': [
      sent(55, 'r3'),
      done(56, 'r3', { kind: 'broken' }),
    ],
    'a request without an end': [sent(55, 'r3')],
  },
  not_run: {
    'a refused request that began later': [reached(5_000, 'r2')],
  },
  at_most_once: {
    'a request that began twice': [reached(58, 'r1', { backend: 'w4' })],
    'two requests of one key': [
      sent(55, 'r3', { key: 'k' }),
      reached(56, 'r3'),
      done(57, 'r3', ANSWERED),
      sent(57, 'r4', { key: 'k' }),
      reached(58, 'r4'),
      done(59, 'r4', ANSWERED),
    ],
  },
  leaving: {
    'a late request': [
      sent(9_000, 'r3'),
      reached(9_001, 'r3'),
      done(9_002, 'r3', ANSWERED),
    ],
    'a late task': [
      began(9_000, 't4', 1, { worker: 'w2', job: 'k' }),
      ended(9_001, 't4', 1, { worker: 'w2' }),
    ],
  },
  graceful_stop: {
    'a stop that fails': [
      { type: 'fault_began', at: 91, fault: 'entry_stopped', target: 'e3' },
      { type: 'entry_exited', at: 95, entry: 'e3', code: null },
    ],
    'a stop without an exit': [
      { type: 'fault_began', at: 91, fault: 'entry_stopped', target: 'e3' },
    ],
  },
  config: {
    'an older configuration': [seen(73, 4)],
    'a change that does not arrive': [
      { type: 'config_accepted', at: 74, object: 'team/b', base: 0, offset: 6 },
      seen(50_000, 5),
    ],
    'two winners of a race': [
      { type: 'config_accepted', at: 74, object: 'team/a', base: 0, offset: 3 },
    ],
  },
  epochs: {
    'two owners of an epoch': [
      { type: 'shard_claimed', at: 5, shard: 's', epoch: 1, owner: 'e2' },
    ],
    'a start by a superseded owner': [
      began(47, 't5', 1, { job: 'k', epoch: 3 }),
      ended(48, 't5', 1),
      began(49, 't6', 1, { job: 'k', epoch: 2 }),
      ended(49.5, 't6', 1),
    ],
  },
};

for (const { name, check } of CHECKS) {
  const plants = PLANTED[name] ?? {};
  test(`a check of ${name} has planted faults`, () => {
    assert.ok(Object.keys(plants).length > 0);
  });
  for (const [what, events] of Object.entries(plants)) {
    test(`${name} catches ${what}`, () => {
      const { violations } = check(history(...SOUND, ...events));
      assert.ok(violations.length > 0);
      assert.ok(violations.every(violation => violation.events.length > 0));
    });
  }
}

test('a loss that no one could learn of may repeat a resumable task', () => {
  const finishOnce = CHECKS.find(({ name }) => name === 'finish_once');
  const repeated = [began(45, 't2', 2), ended(46, 't2', 2)];
  const resumable = SOUND.map((event): Sketch =>
    event.type === 'job_submitted'
      ? { ...event, onLostWorker: 'resume' }
      : event,
  );
  const restart: Sketch = {
    type: 'worker_up',
    at: 43,
    worker: 'w1',
    boot: 'b2',
    capacity: CAPACITY,
  };
  const told = history(...resumable, ...repeated);
  assert.equal(finishOnce?.check(told).violations.length, 1);
  const lost = history(...resumable, restart, ...repeated);
  assert.deepEqual(finishOnce.check(lost).violations, []);

  const cut = { fault: 'worker_unreachable', target: 'w1' } as const;
  const cutFrom = (from: number, to: number): Sketch[] => [
    { type: 'fault_began', at: from, ...cut },
    { type: 'fault_ended', at: to, ...cut },
  ];
  const during = history(...resumable, ...cutFrom(42, 44), ...repeated);
  assert.deepEqual(finishOnce.check(during).violations, []);
  const before = history(...resumable, ...cutFrom(32, 38), ...repeated);
  assert.equal(finishOnce.check(before).violations.length, 1);
});
