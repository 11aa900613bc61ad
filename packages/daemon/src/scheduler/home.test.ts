import assert from 'node:assert/strict';
import test from 'node:test';

import { NO_RESOURCES, jobSchema, shardSchema } from '@paddlewind/domain';
import type { Host } from '@paddlewind/ports';

import { chooseHome, registryZone, type HomeView } from './home.js';

const SHARDS = ['a', 'b', 'c'].map(zone =>
  shardSchema.parse({
    kind: 'shard',
    name: `${zone}-0`,
    region: 'r',
    availabilityZone: zone,
    racks: ['rack'],
  }),
);

function hostIn(zone: string, cpu: number): Host {
  return {
    id: `${zone}-worker`,
    role: 'worker',
    state: 'live',
    address: '',
    region: 'r',
    availabilityZone: zone,
    rack: 'rack',
    labels: { site: zone },
    capacity: { cpu, memoryMiB: 1_024, accelerators: 0 },
    endpoints: {},
  };
}

function jobFor(site: string | undefined, cpu = 1) {
  return jobSchema.parse({
    kind: 'job',
    name: 'statements',
    team: 't',
    tasks: 1,
    size: { cpu, memoryMiB: 1 },
    command: ['run'],
    workers: { labels: site === undefined ? {} : { site } },
  });
}

const VIEW: HomeView = {
  shards: SHARDS,
  hosts: ['a', 'b', 'c'].map(zone => hostIn(zone, zone === 'b' ? 8 : 4)),
  reserved: () => NO_RESOURCES,
};

test('a job goes where a worker could hold it', () => {
  for (const zone of ['a', 'b', 'c']) {
    assert.equal(chooseHome(jobFor(zone), VIEW)?.zone, zone);
  }
  assert.equal(chooseHome(jobFor(undefined, 6), VIEW)?.zone, 'b');
});

test('a job that many could hold, or none, goes to the zone of its registry', () => {
  const registry = registryZone('statements', SHARDS);
  assert.equal(chooseHome(jobFor(undefined), VIEW)?.zone, registry);
  assert.equal(chooseHome(jobFor(undefined, 64), VIEW)?.zone, registry);
});

test('without shards there is no home', () => {
  assert.equal(registryZone('statements', []), undefined);
  assert.equal(chooseHome(jobFor('a'), { ...VIEW, shards: [] }), undefined);
});
