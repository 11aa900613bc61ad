import assert from 'node:assert/strict';
import test from 'node:test';

import { objectKey, shardSchema, type ConfigState } from '@paddlewind/domain';

import { createJobs } from './jobs.js';
import type { SchedulerParts } from './types.js';
import type { Zone, Zones } from './zone.js';

const SHARD = shardSchema.parse({
  kind: 'shard',
  name: 'shard-a',
  region: 'r',
  availabilityZone: 'zone-a',
  racks: ['rack-1'],
});

const CONFIG: ConfigState = {
  offset: 1,
  objects: new Map([
    [objectKey('shard', SHARD.name), { object: SHARD, version: 1 }],
  ]),
};

test('a job whose stream cannot be read yet is not called unknown', async () => {
  const opened: string[] = [];
  const zones: Pick<Zones, 'open'> = {
    open(name) {
      opened.push(name);
      return { follower: { caughtUp: () => false } } as Zone;
    },
  };
  const parts = {
    cfg: { region: 'r' },
    config: { current: () => CONFIG },
    ctx: { clock: () => 10 },
  } as unknown as SchedulerParts;
  const jobs = createJobs(parts, zones as Zones);
  const status = await jobs.status('job', 10);
  assert.equal(status.isErr && status.error.kind, 'not_ready');
  const canceled = await jobs.cancel('job', 10);
  assert.equal(canceled.isErr && canceled.error.kind, 'not_ready');
  assert.deepEqual(new Set(opened), new Set(['zone-a']));
});
