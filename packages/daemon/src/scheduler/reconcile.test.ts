import assert from 'node:assert/strict';
import test from 'node:test';

import { jobSchema } from '@paddlewind/domain';
import type { AttemptReport } from '@paddlewind/ports';

import {
  reconcile,
  type PlacedAttempt,
  type ReconcileInput,
} from './reconcile.js';
import type { SentStart } from './worker-link.js';

const REF = { task: 'j/0', attempt: 2 };
const SIZE = { cpu: 1, memoryMiB: 1, accelerators: 0 };
const SENT_AT = 1_000;

function placed(
  onLostWorker: 'resume' | 'hold',
  evicting?: string,
): PlacedAttempt {
  const job = jobSchema.parse({
    kind: 'job',
    name: 'j',
    team: 't',
    tasks: 1,
    size: SIZE,
    command: ['run'],
    onLostWorker,
  });
  return { ref: REF, job, size: SIZE, checkpoint: undefined, evicting };
}

function reportOf(
  state: AttemptReport['state'],
  more: Partial<AttemptReport> = {},
): AttemptReport {
  return { ...REF, job: 'j', state, usage: SIZE, progress: 0.5, ...more };
}

interface Situation {
  readonly placed?: PlacedAttempt;
  readonly report?: AttemptReport;
  readonly sent?: Partial<SentStart>;
  readonly elsewhere?: boolean;
}

/** Returns the steps as short words. */
function stepsIn(situation: Situation): string[] {
  const { sent } = situation;
  const start = { boot: 'b1', confirmedAt: undefined, inFlight: false };
  const starts: ReconcileInput['starts'] = new Map(
    sent === undefined ? [] : [['j/0#2', { ...start, ...sent }]],
  );
  const steps = reconcile({
    shard: 's',
    epoch: 3,
    placed: situation.placed === undefined ? [] : [situation.placed],
    report: {
      worker: 'w',
      boot: 'b1',
      attempts: situation.report === undefined ? [] : [situation.report],
      lagMs: 0,
    },
    sentAt: SENT_AT,
    starts,
    isElsewhere: () => situation.elsewhere ?? false,
    wall: 0,
  });
  return steps.map(step =>
    step.kind === 'end' && step.decision.kind === 'task_ended'
      ? `end ${step.decision.body.result}`
      : step.kind,
  );
}

const RESUME = placed('resume');
const HOLD = placed('hold');

test('an attempt without an acknowledged start is started', () => {
  assert.deepEqual(stepsIn({ placed: RESUME }), ['start']);
  assert.deepEqual(stepsIn({ placed: RESUME, sent: {} }), ['start']);
  assert.deepEqual(stepsIn({ placed: RESUME, sent: { inFlight: true } }), []);
});

test('an attempt that may have begun before a restart is held where its job says so', () => {
  const sent = { boot: 'b0' };
  assert.deepEqual(stepsIn({ placed: RESUME, sent }), ['start']);
  assert.deepEqual(stepsIn({ placed: HOLD, sent }), ['end lost']);
  assert.deepEqual(stepsIn({ placed: HOLD, sent: {} }), ['start']);
});

test('a held start given up is sent again only on a later report of the same boot', () => {
  const later = { givenUpAt: SENT_AT + 1 };
  assert.deepEqual(stepsIn({ placed: HOLD, sent: later }), []);
  assert.deepEqual(stepsIn({ placed: RESUME, sent: later }), ['start']);
  const earlier = { givenUpAt: SENT_AT - 1 };
  assert.deepEqual(stepsIn({ placed: HOLD, sent: earlier }), ['start']);
});

test('a held task is queued again only after a stop that was asked for', () => {
  const evicted = placed('hold', 'preempted');
  const report = reportOf('stopped');
  assert.deepEqual(stepsIn({ placed: HOLD, report }), ['end lost']);
  assert.deepEqual(stepsIn({ placed: evicted, report }), ['end stopped']);
  const same = { placed: evicted, report, sent: { seenBoot: 'b1' } };
  assert.deepEqual(stepsIn(same), ['end stopped']);
  const other = { placed: evicted, report, sent: { seenBoot: 'b0' } };
  assert.deepEqual(stepsIn(other), ['end lost']);
});

test('a held task to be evicted is lost when its agent was restarted', () => {
  const evicted = placed('hold', 'preempted');
  const restarted = { boot: 'b0' };
  assert.deepEqual(stepsIn({ placed: evicted, sent: restarted }), ['end lost']);
  const known = { confirmedAt: SENT_AT - 1 };
  assert.deepEqual(stepsIn({ placed: evicted, sent: known }), ['end lost']);
  assert.deepEqual(stepsIn({ placed: evicted, sent: {} }), ['stop']);
});

test('an acknowledged attempt that a later sync misses is lost, not by an earlier sync', () => {
  const later = { confirmedAt: SENT_AT + 1 };
  assert.deepEqual(stepsIn({ placed: RESUME, sent: later }), []);
  const earlier = { confirmedAt: SENT_AT - 1 };
  assert.deepEqual(stepsIn({ placed: RESUME, sent: earlier }), ['end lost']);
});

test('an attempt to be evicted is stopped, even when the agent does not know it', () => {
  const evicted = placed('resume', 'preempted');
  assert.deepEqual(stepsIn({ placed: evicted }), ['stop']);
  const running = reportOf('running');
  assert.deepEqual(stepsIn({ placed: evicted, report: running }), ['stop']);
  const stopping = reportOf('stopping');
  assert.deepEqual(stepsIn({ placed: evicted, report: stopping }), []);
});

test('ended attempts are recorded, strays stopped and acknowledged', () => {
  for (const state of ['completed', 'failed', 'stopped'] as const) {
    const report = reportOf(state);
    assert.deepEqual(stepsIn({ placed: RESUME, report }), [`end ${state}`]);
    assert.deepEqual(stepsIn({ report }), ['acknowledge']);
  }
  assert.deepEqual(stepsIn({ report: reportOf('running') }), ['stop']);
  assert.deepEqual(stepsIn({ report: reportOf('stopping') }), []);
  const elsewhere = { report: reportOf('running'), elsewhere: true };
  assert.deepEqual(stepsIn(elsewhere), []);
});

test('texts and numbers beyond all bounds are recorded without harm', () => {
  const long = 'x'.repeat(5_000);
  const report = reportOf('stopped', {
    checkpoint: long,
    message: long,
    progress: Number.NaN,
  });
  assert.deepEqual(stepsIn({ placed: RESUME, report }), ['end stopped']);
});
