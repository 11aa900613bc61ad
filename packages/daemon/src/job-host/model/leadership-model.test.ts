/** Explores the histories of two leaders, a worker and its replacement, and one task, within bounds. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { explore, type Exploration } from './explore.fixture.test.js';
import { TICK_MS } from './states.fixture.test.js';
import type { Bounds } from './steps.fixture.test.js';
import type { InjectedFault } from './worker-steps.fixture.test.js';

const NO_TIME: Bounds = {
  until: 0,
  epochs: 2,
  runs: 2,
  maxDisruptions: 0,
  disruptionKinds: [],
  opening: [],
  depth: Infinity,
  cancels: false,
  releases: false,
  reads: false,
  fault: 'none',
};

const CANCELLED: Bounds = { ...NO_TIME, cancels: true };

const CANCELLED_LATE: Bounds = { ...CANCELLED, until: TICK_MS, epochs: 1 };

const DISRUPTED: Bounds = {
  ...NO_TIME,
  maxDisruptions: 1,
  disruptionKinds: ['message', 'append', 'restart', 'loss'],
  depth: 10,
};

/** A worker with an active run is lost to one host or to both. */
const LOST: Bounds = {
  ...NO_TIME,
  until: 2 * TICK_MS,
  maxDisruptions: 1,
  disruptionKinds: ['loss'],
  opening: [
    'A claims',
    'A polls w1',
    'A decides',
    'A writes',
    'A sends',
    'B claims',
  ],
  depth: 7,
};

/** The same after the former leader has lost the right to extend the lease and has polled once more. */
const LOST_LATER: Bounds = {
  ...LOST,
  opening: [...LOST.opening, 'time passes', 'A polls w1'],
};

/** A run is active while another host keeps reading the journal. */
const FOLLOWED: Bounds = {
  ...LOST,
  reads: true,
  opening: LOST.opening.slice(0, -1),
  depth: 6,
};

/** The former leader was asked to hand over and continues until another host claims. */
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
    'A polls w1',
    'B claims',
  ],
};

/** The former leader repeats an append that another host has already read. */
const REPEATED: Bounds = {
  ...FOLLOWED,
  maxDisruptions: 2,
  disruptionKinds: ['append', 'loss'],
  opening: [
    ...FOLLOWED.opening,
    'w1 is cut off from B',
    'A polls w2',
    'A writes reached, the answer lost',
    'B reads',
    'time passes',
    'A writes reached',
    'A polls w1',
    'B claims',
  ],
};

function assertNoViolation(bounds: Bounds, floor: number): void {
  const found = explore(bounds);
  assert.equal(found.violation, '', describeResult(found));
  assert.ok(found.states > floor, `only ${found.states} states`);
}

function assertViolation(
  bounds: Bounds,
  fault: InjectedFault,
  violation: RegExp,
): void {
  const found = explore({ ...bounds, fault });
  assert.match(found.violation, violation, describeResult(found));
}

function describeResult({ violation, steps, states }: Exploration): string {
  return [`${violation} (${states} states)`, ...steps].join('\n  ');
}

test('model: two leaders claim and the job is cancelled', () => {
  assertNoViolation(CANCELLED, 3_000);
});

test('model: the job is cancelled while a start waits', () => {
  assertNoViolation(CANCELLED_LATE, 1_000);
});

test('model: one message, append, host or worker is disrupted', () => {
  assertNoViolation(DISRUPTED, 12_000);
});

test('model: a worker is lost while its run is active', () => {
  assertNoViolation(LOST, 10_000);
});

test('model: a worker is lost after its former leader', () => {
  assertNoViolation(LOST_LATER, 10_000);
});

test('model finds a worker that does not check fences', () => {
  assertViolation(NO_TIME, 'no_fence', /two runs/);
});

test('model finds an acknowledgement before the end is recorded', () => {
  assertViolation(NO_TIME, 'early_acknowledgement', /not recorded/);
});

test('model finds a start that is not checked again when sent', () => {
  assertViolation(CANCELLED, 'unchecked_start', /cancellation was read/);
});

test('model finds a stale start that is not checked again when sent', () => {
  assertViolation(
    {
      ...CANCELLED_LATE,
      opening: [
        'A claims',
        'A polls',
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

test('model finds a new leader that misses a record', () => {
  assertViolation(NO_TIME, 'missed_record', /not recorded/);
});

test('model finds a run that is abandoned before its lease ends', () => {
  assertViolation(
    { ...LOST, opening: LOST.opening.slice(0, -1) },
    'early_abandonment',
    /two runs/,
  );
});

test('model finds a lease that is extended by an unconfirmed leader', () => {
  assertViolation(LOST_LATER, 'unconfirmed_lease', /two runs/);
});

test('model: a worker is lost while another host reads the journal', () => {
  assertNoViolation(FOLLOWED, 3_000);
});

test('model: a worker is lost to the successor of a leader that released the leadership', () => {
  assertNoViolation(RELEASED, 500);
});

test('model finds a lease that exceeds the limit after a release', () => {
  assertViolation(RELEASED, 'released_lease', /two runs/);
});

test('model: a repeated append is confirmed as of its first attempt', () => {
  assertNoViolation(REPEATED, 500);
});

test('model finds an append that is confirmed as of its last attempt', () => {
  assertViolation(REPEATED, 'late_confirmation', /two runs/);
});

test('model finds a run of a lost worker that is never abandoned', () => {
  assertViolation(
    { ...LOST, opening: LOST.opening.slice(0, -1) },
    'never_abandoned',
    /task is lost/,
  );
});
