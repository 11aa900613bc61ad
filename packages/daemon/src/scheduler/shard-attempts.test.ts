import assert from 'node:assert/strict';
import test from 'node:test';

import {
  applyRecord,
  createScheduleState,
  decision,
  jobSchema,
  objectKey,
  policySchema,
  type ConfigState,
  type Decision,
} from '@paddlewind/domain';

import type { LeaseMode } from './lease-mode.js';
import { createShardAttempts } from './shard-attempts.js';

const SHARD = 's1';
const WALL = 1_700_000_000_000;

function configOf(evictionsPerHour: number): ConfigState {
  const object = policySchema.parse({
    kind: 'policy',
    name: 'batch',
    order: 1,
    work: { labels: { class: 'archive' } },
    class: 'batch',
    preemptible: true,
    evictionsPerHour,
  });
  const key = objectKey('policy', object.name);
  return { offset: 1, objects: new Map([[key, { object, version: 1 }]]) };
}

function makeControl(options: {
  readonly label?: string;
  readonly evictionsPerHour?: number;
  readonly mode?: LeaseMode;
  readonly outage?: boolean;
}) {
  const state = createScheduleState([SHARD]);
  const written: Decision[] = [];
  const throttled: number[] = [];
  let offset = 0;
  const append = (made: Decision): void => {
    applyRecord(state, made, { offset: offset++, index: 0 });
  };
  const job = jobSchema.parse({
    kind: 'job',
    name: 'index',
    labels: { class: options.label ?? 'archive' },
    team: 'plans',
    tasks: 1,
    size: { cpu: 2, memoryMiB: 1_024 },
    command: ['run'],
  });
  const by = { shard: SHARD, epoch: 1 };
  const ref = { task: 'index/0', attempt: 1 };
  append(decision('owner_opened', { ...by, owner: 'e1' }));
  append(
    decision('job_submitted', { job, shard: SHARD, submittedAtWall: WALL }),
  );
  append(
    decision('task_started', { ...by, ...ref, atWall: WALL, worker: 'w1' }),
  );
  const config = configOf(options.evictionsPerHour ?? 2);
  const control = createShardAttempts({
    parts: {
      wall: () => WALL + 60_000,
      ownership: {
        logGoodSince: () => (options.outage === true ? Infinity : 0),
      },
      config: {
        current: () => config,
        inForce: () => true,
        onChange: () => () => undefined,
      },
    },
    zone: { state },
    spec: { name: SHARD },
    epoch: 1,
    writer: { write: made => written.push(made) },
    syncs: {
      throttle: (_worker, _ref, share) => {
        throttled.push(share);
        return Promise.resolve(true);
      },
    },
    mode: () => options.mode ?? 'leased',
    mayDecide: () => true,
  });
  return { control, written, throttled, append };
}

test('running attempts are listed and throttled', async () => {
  const { control, throttled } = makeControl({});
  const [attempt] = control.running();
  assert.ok(attempt !== undefined);
  assert.deepEqual(
    [attempt.worker, attempt.ref, attempt.size.cpu],
    ['w1', { task: 'index/0', attempt: 1 }, 2],
  );
  assert.equal(await control.throttle(attempt, 0.5), true);
  assert.deepEqual(throttled, [0.5]);
});

test('an eviction is recorded once while the attempt runs', () => {
  const { control, written, append } = makeControl({});
  const [attempt] = control.running();
  assert.ok(attempt !== undefined);
  assert.equal(control.evict(attempt), true);
  const [made] = written;
  assert.ok(made?.kind === 'task_evicting');
  assert.equal(made.body.reason, 'interference');
  append(made);
  assert.equal(control.evict(attempt), false);
  assert.deepEqual(control.running(), []);
});

test('no eviction without a policy that allows it, nor without the lease or the log', () => {
  for (const options of [
    { label: 'other' },
    { evictionsPerHour: 0 },
    { mode: 'renew_only' as const },
    { outage: true },
  ]) {
    const { control, written } = makeControl(options);
    const [attempt] = control.running();
    assert.ok(attempt !== undefined);
    assert.equal(control.evict(attempt), false);
    assert.deepEqual(written, []);
  }
});
