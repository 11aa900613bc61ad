import assert from 'node:assert/strict';
import test from 'node:test';

import {
  appError,
  createScheduleState,
  decision,
  seededRandom,
  type AppError,
  type Outcome,
  type Position,
} from '@paddlewind/domain';
import { createVirtualTime } from '@paddlewind/stand-ins';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import { Result } from 'true-myth';

import type { Committer } from '../parts.js';
import { createDecisionWriter } from './decision-writer.js';
import type { Zone } from './zone.js';

const START = decision('task_started', {
  shard: 's',
  epoch: 1,
  task: 'j/0',
  attempt: 1,
  worker: 'w',
  atWall: 0,
});

const ZONE: Zone = {
  name: 'z',
  stream: 'decisions.z',
  state: createScheduleState([]),
  follower: {
    offset: () => 0,
    caughtUp: () => true,
    failure: () => undefined,
    waitForOffset: () => Promise.resolve(Result.ok(undefined)),
    stop: () => undefined,
  },
  onDecision: () => () => undefined,
};

/** Creates a writer whose commits end as `outcomes` say, then well. */
function setUp(outcomes: Outcome[]) {
  const time = createVirtualTime();
  const ids: string[] = [];
  const commit: Committer['commit'] = (_stream, record) => {
    ids.push(record.id);
    const outcome = outcomes.shift();
    const done: Result<Position, AppError> =
      outcome === undefined
        ? Result.ok({ offset: 7, index: 0 })
        : Result.err(appError('log_unavailable', 'Down.', { outcome }));
    return Promise.resolve(done);
  };
  const ctx = {
    clock: time.clock,
    schedule: time.schedule,
    random: seededRandom(1),
    log: pino({ level: 'silent' }),
    metrics: new Registry(),
  };
  const writer = createDecisionWriter(ctx, { commit }, ZONE, () => undefined);
  return { time, writer, ids };
}

test('a decision of unknown outcome stays pending and is sent again alike', async () => {
  const { time, writer, ids } = setUp(['unknown', 'unknown']);
  writer.write(START);
  await time.advance(100);
  assert.deepEqual(writer.pending(), [START]);
  writer.write(START);
  await time.advance(5_000);
  assert.deepEqual(writer.pending(), []);
  assert.deepEqual(ids, [START.id, START.id, START.id]);
});

test('a decision that surely was not written is pending no more', async () => {
  const { time, writer, ids } = setUp(['not_run']);
  writer.write(START);
  await time.advance(100);
  assert.deepEqual(writer.pending(), []);
  assert.equal(ids.length, 1);
});

test('a closed writer sends nothing again', async () => {
  const { time, writer, ids } = setUp(['unknown', 'unknown']);
  writer.write(START);
  await time.advance(100);
  writer.close();
  await time.advance(5_000);
  assert.equal(ids.length, 1);
});
