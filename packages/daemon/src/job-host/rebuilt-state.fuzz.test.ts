/*
 * Guards against restarted hosts whose state of jobs differs from that of the leader. The log drops the inbox
 * and the journal record by record: a submission that was written twice outlived the records of its job, so that the
 * job ran again; and a cancellation whose job was only restated was lost.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { RunEnd } from '@paddlewind/domain/jobs';
import fc from 'fast-check';

import {
  comparedJobs,
  ExpiringLog,
  type Retention,
} from './rebuilt-state.fixture.test.js';
import type { FoldedStream } from './replica.js';

/** Most that a write without an answer is late, in milliseconds. */
const MAX_LATE_MS = 6_000;
/** Longest time without a leader: jobs are restated early enough for it, in each of the cases below. */
const MAX_LEADERLESS_MS = 2_500;
const JOBS = ['a', 'b', 'c', 'd'].map(digit => digit.repeat(16));

type Op =
  | {
      readonly kind: 'submit' | 'cancel';
      readonly job: number;
      readonly lateMs: number | null;
    }
  | { readonly kind: 'start'; readonly pick: number }
  | { readonly kind: 'end'; readonly pick: number; readonly how: RunEnd }
  | { readonly kind: 'pass'; readonly span: number }
  | {
      readonly kind: 'takeOver';
      readonly leaderlessMs: number;
      /** A job that is submitted while there is no leader. */
      readonly job: number;
    };

const job = fc.nat({ max: JOBS.length - 1 });
const pick = fc.nat({ max: 20 });
/** When a request that was answered is written a second time. */
const lateMs = fc.option(fc.integer({ min: 500, max: MAX_LATE_MS }));
const ends = fc.constantFrom<RunEnd>(
  'done',
  'done',
  'done',
  'failed',
  'stopped',
  'lapsed',
);

const op: fc.Arbitrary<Op> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('submit' as const), job, lateMs }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('cancel' as const), job, lateMs }),
  },
  {
    weight: 6,
    arbitrary: fc.record({ kind: fc.constant('start' as const), pick }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('end' as const),
      pick,
      how: ends,
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('pass' as const),
      span: fc.integer({ min: 250, max: 12_000 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('takeOver' as const),
      leaderlessMs: fc.nat({ max: MAX_LEADERLESS_MS }),
      job,
    }),
  },
);

/** Plays a history; after each operation a restarted host must know what the leader holds. */
async function play(ops: readonly Op[], retention: Retention): Promise<void> {
  const site = new ExpiringLog(retention);
  const submitted = new Set<string>();
  await site.takeOver(0);
  for (const found of ops) {
    switch (found.kind) {
      case 'submit':
      case 'cancel':
        await change(site, found, submitted);
        break;
      case 'start':
        site.start(found.pick);
        break;
      case 'end':
        site.end(found.pick, found.how);
        break;
      case 'pass':
        await site.pass(found.span);
        break;
      case 'takeOver':
        await replaceLeader(site, found, submitted);
        break;
    }
    await site.round();
    await assertRebuilt(site, 'journal');
    await assertRebuilt(site, 'inbox');
  }
}

/** Another host leads; it must know what the last leader held, and what was submitted meanwhile. */
async function replaceLeader(
  site: ExpiringLog,
  { leaderlessMs, job: at }: Extract<Op, { kind: 'takeOver' }>,
  submitted: Set<string>,
): Promise<void> {
  const before = comparedJobs(site.held);
  const id = JOBS[at] ?? '';
  const isNew = !submitted.has(id);
  if (isNew) {
    submitted.add(id);
    await site.append(site.submission(id), null);
  }
  await site.takeOver(leaderlessMs);
  const held = comparedJobs(site.held);
  for (const [known, found] of before) {
    assert.deepEqual(held.get(known), found, `job ${known}`);
  }
  assert.ok(!isNew || held.has(id), `job ${id} is not known`);
}

/** Submits or cancels a job, once in all if it is written at once, and once more if it is written late. */
async function change(
  site: ExpiringLog,
  { kind, job: at, lateMs: late }: Extract<Op, { kind: 'submit' | 'cancel' }>,
  submitted: Set<string>,
): Promise<void> {
  const id = JOBS[at] ?? '';
  const isCancel = kind === 'cancel';
  // Callers submit a job once; a host cancels only a job that it knows.
  if (isCancel ? !site.held.jobs.has(id) : submitted.has(id)) {
    return;
  }
  submitted.add(id);
  const record = isCancel
    ? ({ kind: 'cancel', job: id } as const)
    : site.submission(id);
  await site.append(record, late);
}

async function assertRebuilt(
  site: ExpiringLog,
  first: FoldedStream,
): Promise<void> {
  const rebuilt = comparedJobs((await site.rebuild(first)).state);
  const held = comparedJobs(site.held);
  for (const [id, found] of held) {
    assert.deepEqual(rebuilt.get(id), found, `job ${id}`);
  }
  for (const [id, { status }] of rebuilt) {
    // A job that the leader has forgotten is finished.
    const isOpen = status === 'queued' || status === 'running';
    assert.ok(held.has(id) || !isOpen, `job ${id} is ${String(status)} again`);
  }
}

/** Returns the number of histories and the seed, which the environment may override. */
function fuzzOptions(numRuns: number, seed: number): fc.Parameters<unknown> {
  return {
    numRuns: Number(process.env.FUZZ_RUNS ?? numRuns),
    seed: Number(process.env.FUZZ_SEED ?? seed),
    endOnFailure: process.env.FUZZ_SHRINK === undefined,
    includeErrorInReport: true,
  };
}

const RETENTIONS: Readonly<Record<string, Retention>> = {
  'states are kept longer than the log': { keepMs: 20_000, statusMs: 60_000 },
  'states are kept for a part of the time': { keepMs: 20_000, statusMs: 8_000 },
  'states are forgotten before jobs are restated': {
    keepMs: 40_000,
    statusMs: 6_000,
  },
  'the inbox drops records early': {
    keepMs: 20_000,
    inboxMs: 10_000,
    statusMs: 60_000,
  },
  'the journal drops records early': {
    keepMs: 20_000,
    journalMs: 10_000,
    statusMs: 60_000,
  },
  'the journal drops records of forgotten jobs early': {
    keepMs: 40_000,
    journalMs: 20_000,
    statusMs: 6_000,
  },
};

// Only the submission was left of a job that was finished and forgotten, and a host that started ran it again.
test('a forgotten job whose submission is kept for longer does not run again', async () => {
  const start = { kind: 'start', pick: 0 } as const;
  const end = { kind: 'end', pick: 0, how: 'done' } as const;
  const pass = { kind: 'pass', span: 12_000 } as const;
  const submit = { kind: 'submit', job: 0, lateMs: null } as const;
  const tasks = [start, end, start, end, start, end];
  await play([submit, ...tasks, pass, pass], {
    keepMs: 40_000,
    journalMs: 20_000,
    statusMs: 6_000,
  });
});

for (const [name, retention] of Object.entries(RETENTIONS)) {
  test(`a restarted host knows what the leader holds: ${name}`, async () => {
    const history = fc.array(op, { minLength: 10, maxLength: 40 });
    await fc.assert(
      fc.asyncProperty(history, ops => play(ops, retention)),
      fuzzOptions(40, 20261210),
    );
  });
}
