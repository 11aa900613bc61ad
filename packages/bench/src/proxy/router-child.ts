/** The router of an entry host in front of these backend servers. */
import {
  startRouter,
  type ConfigView,
  type PeerView,
} from '@paddlewind/daemon';
import {
  objectKey,
  objectSchema,
  seededRandom,
  type ConfigState,
} from '@paddlewind/domain';
import type { Host } from '@paddlewind/ports';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import { Result } from 'true-myth';

import { serveParent } from './child.js';

const [connections, ...addresses] = process.argv.slice(2);

/** The dispatcher keeps connections free for three more entry hosts than planned. */
const HOSTS_COUNTED = 4;

function config(): ConfigState {
  const object = objectSchema.parse({
    kind: 'service',
    name: 'web',
    team: 'bench',
    workers: {},
    size: { cpu: 1, memoryMiB: 100 },
    slots: Number(connections),
    connections: Number(connections) * HOSTS_COUNTED,
    route: {},
    objective: { target: 0.999, latencyMs: 100 },
  });
  const key = objectKey('service', 'web');
  return { offset: 2, objects: new Map([[key, { object, version: 1 }]]) };
}

function worker(address: string): Host {
  return {
    id: `worker-${address}`,
    role: 'worker',
    state: 'live',
    address,
    region: 'nw',
    availabilityZone: 'olympia',
    rack: 'r1',
    labels: {},
    capacity: { cpu: 16, memoryMiB: 60_000, accelerators: 0 },
    endpoints: { web: address },
  };
}

const state = config();
const cfg: ConfigView = {
  current: () => state,
  inForce: () => true,
  onChange: () => () => undefined,
};
const peers: PeerView = {
  self: 'entry-1',
  peers: () => [],
  onChange: () => () => undefined,
};
const hosts = addresses.map(worker);

const router = await startRouter({
  ctx: {
    clock: () => performance.now(),
    random: seededRandom(1),
    log: pino({ level: 'silent' }),
    metrics: new Registry(),
  },
  cfg,
  hosts: { hosts: () => hosts, onChange: () => () => undefined },
  peers,
  committer: {
    commit: () => Promise.resolve(Result.ok({ offset: 0, index: 0 })),
  },
  follow: () => ({
    offset: () => 0,
    caughtUp: () => true,
    waitForOffset: () => Promise.resolve(Result.ok(undefined)),
    stop: () => undefined,
  }),
  settings: {
    listen: { host: '127.0.0.1', port: 0 },
    availabilityZone: 'olympia',
    region: 'nw',
    hostId: 'entry-1',
    entryHosts: 1,
  },
});
serveParent(Number(router.address.split(':')[1]));
