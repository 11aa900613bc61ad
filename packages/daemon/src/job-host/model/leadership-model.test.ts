/** Histories of two leaders, a worker and its successor and one task: all within bounds. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { explore, type Found } from './explore.fixture.test.js';
import { TICK_MS } from './states.fixture.test.js';
import type { Bounds } from './steps.fixture.test.js';
import type { Fault } from './worker-steps.fixture.test.js';

const AT_ONCE: Bounds = {
  until: 0,
  epochs: 2,
  runs: 2,
  troubles: 0,
  kinds: [],
  opening: [],
  depth: Infinity,
  cancels: false,
  releases: false,
  reads: false,
  fault: 'none',
};

const CANCELLED: Bounds = { ...AT_ONCE, cancels: true };

const CANCELLED_LATE: Bounds = { ...CANCELLED, until: TICK_MS, epochs: 1 };

const TROUBLED: Bounds = {
  ...AT_ONCE,
  troubles: 1,
  kinds: ['message', 'append', 'restart', 'loss'],
  depth: 10,
};

/** A run is at work when its worker is lost, to one host or to both. */
const LOST: Bounds = {
  ...AT_ONCE,
  until: 2 * TICK_MS,
  troubles: 1,
  kinds: ['loss'],
  opening: [
    'A claims',
    'A looks at w1',
    'A decides',
    'A writes',
    'A sends',
    'B claims',
  ],
  depth: 7,
};

/** The same, once the former leader may not extend the lease any more, and has looked once more. */
const LOST_LATER: Bounds = {
  ...LOST,
  opening: [...LOST.opening, 'time passes', 'A looks at w1'],
};

/** A run is at work, and another host reads on. */
const FOLLOWED: Bounds = {
  ...LOST,
  reads: true,
  opening: LOST.opening.slice(0, -1),
  depth: 6,
};

/** The former leader was asked to be replaced, and goes on until another host claims. */
const RELEASED: Bounds = {
  ...FOLLOWED,
  releases: true,
  opening: [
    ...FOLLOWED.opening,
    'A releases',
    'A writes release',
    'B reads',
    'time passes',
    'A writes a heartbeat',
    'w1 is cut off from B',
    'A looks at w1',
    'B claims',
  ],
};

/** The former leader repeats an append that another host has read already. */
const REPEATED: Bounds = {
  ...FOLLOWED,
  troubles: 2,
  kinds: ['append', 'loss'],
  opening: [
    ...FOLLOWED.opening,
    'w1 is cut off from B',
    'A looks at w2',
    'A writes reached, the answer lost',
    'B reads',
    'time passes',
    'A writes reached',
    'A looks at w1',
    'B claims',
  ],
};

function assertSound(bounds: Bounds, floor: number): void {
  const found = explore(bounds);
  assert.equal(found.broken, '', tell(found));
  assert.ok(found.states > floor, `only ${found.states} states`);
}

function assertFound(bounds: Bounds, fault: Fault, broken: RegExp): void {
  const found = explore({ ...bounds, fault });
  assert.match(found.broken, broken, tell(found));
}

function tell({ broken, steps, states }: Found): string {
  return [`${broken} (${states} states)`, ...steps].join('\n  ');
}

test('model: leaders that claim, a job that is cancelled', () => {
  assertSound(CANCELLED, 3_000);
});

test('model: a cancellation while a start waits', () => {
  assertSound(CANCELLED_LATE, 1_000);
});

test('model: one message, append, host or worker in trouble', () => {
  assertSound(TROUBLED, 12_000);
});

test('model: a worker is lost while its run is at work', () => {
  assertSound(LOST, 10_000);
});

test('model: a worker is lost after its former leader', () => {
  assertSound(LOST_LATER, 10_000);
});

test('model finds a worker without a fence', () => {
  assertFound(AT_ONCE, 'no_fence', /two runs/);
});

test('model finds an acknowledgement before the record', () => {
  assertFound(AT_ONCE, 'early_acknowledgement', /not recorded/);
});

test('model finds a start that is not checked when sent', () => {
  assertFound(CANCELLED, 'unchecked_start', /cancellation was read/);
});

test('model finds a stale start that is not checked when sent', () => {
  assertFound(
    {
      ...CANCELLED_LATE,
      opening: [
        'A claims',
        'A looks',
        'A decides',
        'A writes',
        'the job is cancelled',
        'time passes',
      ],
    },
    'unchecked_start',
    /too long after the cancellation/,
  );
});

test('model finds a record that a new leader misses', () => {
  assertFound(AT_ONCE, 'missed_record', /not recorded/);
});

test('model finds a run that is given up before its lease ends', () => {
  assertFound(
    { ...LOST, opening: LOST.opening.slice(0, -1) },
    'early_give_up',
    /two runs/,
  );
});

test('model finds a lease that a leader extends unconfirmed', () => {
  assertFound(LOST_LATER, 'unconfirmed_lease', /two runs/);
});

test('model: a worker is lost while another host reads on', () => {
  assertSound(FOLLOWED, 3_000);
});

test('model: a worker is lost to the host that follows one which released the lead', () => {
  assertSound(RELEASED, 500);
});

test('model finds a lease that goes beyond a release', () => {
  assertFound(RELEASED, 'released_lease', /two runs/);
});

test('model: a repeated append counts from its first try', () => {
  assertSound(REPEATED, 500);
});

test('model finds an append that counts from its last try', () => {
  assertFound(REPEATED, 'late_confirmation', /two runs/);
});

test('model finds a run of a lost worker that is never given up', () => {
  assertFound(
    { ...LOST, opening: LOST.opening.slice(0, -1) },
    'never_given_up',
    /task is lost/,
  );
});
