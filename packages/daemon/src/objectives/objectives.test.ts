import assert from 'node:assert/strict';
import test from 'node:test';

import { createRouterTransport } from '@connectrpc/connect';
import {
  objectKey,
  serviceSchema,
  type ConfigState,
  type RequestEnd,
} from '@paddlewind/domain';
import { OperatorService } from '@paddlewind/protocol';
import { pino } from 'pino';
import { Registry } from 'prom-client';

import type { BurnFields } from '../operator/deps.js';
import type { EndedRequest, Peer } from '../parts.js';
import { createBurnReport } from './collect.js';
import { type Objectives, startObjectives } from './objectives.js';

const SERVICE = serviceSchema.parse({
  kind: 'service',
  name: 'memberlink',
  team: 'cascade',
  workers: {},
  size: { cpu: 1, memoryMiB: 1 },
  slots: 8,
  connections: 64,
  route: {},
  objective: { target: 0.99, latencyMs: 100 },
});

const CONFIG: ConfigState = {
  offset: 1,
  objects: new Map([
    [objectKey('service', 'memberlink'), { object: SERVICE, version: 0 }],
  ]),
};

const ANSWERED: RequestEnd = { kind: 'answered', status: 200 };
const ignoreListener = () => () => undefined;

interface Fixture {
  readonly objectives: Objectives;
  readonly metrics: Registry;
  end(req: Partial<EndedRequest>, times?: number): void;
}

function start(id: string): Fixture {
  const listeners: ((req: EndedRequest) => void)[] = [];
  const metrics = new Registry();
  const objectives = startObjectives({
    ctx: {
      clock: () => 60_000,
      random: () => 0.5,
      log: pino({ level: 'silent' }),
      metrics,
    },
    self: { id, availabilityZone: 'salem' },
    config: {
      current: () => CONFIG,
      inForce: () => true,
      onChange: ignoreListener,
    },
    hosts: { hosts: () => [], onChange: ignoreListener },
    requests: {
      onEnded: listener => {
        listeners.push(listener);
        return () => undefined;
      },
    },
    jobsOn: worker => (worker === 'w1' ? ['statements'] : []),
    batchTotals: () => ({ evictions: 2, completed: 5 }),
  });
  return {
    objectives,
    metrics,
    end(req, times = 1) {
      for (let count = 0; count < times; count++) {
        const base = { service: 'memberlink', end: ANSWERED, worker: 'w2' };
        listeners.forEach(listener => {
          listener({ ...base, durationMs: 10, ...req });
        });
      }
    },
  };
}

function row(burn: BurnFields, seconds: number, neighbour?: string) {
  return burn.windows.find(
    each =>
      each.windowSeconds === seconds &&
      each.availabilityZone === '' &&
      !each.withoutBatch &&
      each.batchNeighbours[0] === neighbour,
  );
}

test('burn is measured by service and by batch neighbour', () => {
  const fixture = start('a');
  fixture.end({}, 90);
  fixture.end({ worker: 'w1', durationMs: 500 }, 10);
  fixture.end({ service: 'undeclared' });
  const burn = fixture.objectives.burn();
  const all = row(burn, 300);
  assert.deepEqual([all?.requests, all?.slow], [100n, 10n]);
  assert.equal(all?.burnRate.toFixed(6), '10.000000');
  assert.equal(row(burn, 300, 'statements')?.requests, 10n);
  const severities = burn.alerts?.map(alert => alert.severity);
  assert.deepEqual(severities, ['fast', 'slow']);
});

test('metrics report burn rates and alerts', async () => {
  const fixture = start('a');
  fixture.end({ end: { kind: 'broken_off' } }, 10);
  const text = await fixture.metrics.metrics();
  assert.match(
    text,
    /burn_rate\{service="memberlink",availability_zone="",window_seconds="300"\} 99\.9/,
  );
  assert.match(text, /alert\{service="memberlink",severity="fast"\} 1/);
  assert.match(
    text,
    /requests_total\{service="memberlink",outcome="failed"\} 10/,
  );
});

test('the burn of all hosts is added up and hosts without an answer are listed as missing', async () => {
  const [a, b] = [start('a'), start('b')];
  a.end({}, 50);
  b.end({ durationMs: 500 }, 50);
  const transport = createRouterTransport(router => {
    router.rpc(OperatorService.method.burn, req => {
      assert.ok(req.local);
      return b.objectives.burn();
    });
  });
  const unavailable = createRouterTransport(() => undefined);
  const peer = (id: string) => ({ id, address: id }) as Peer;
  const burn = await createBurnReport({
    own: () => a.objectives.burn(),
    peers: { peers: () => [peer('b'), peer('c')] },
    transports: {
      to: address => (address === 'b' ? transport : unavailable),
      forget: () => undefined,
      retain: () => undefined,
      close: () => undefined,
    },
  })(false);
  assert.equal(row(burn, 300)?.requests, 100n);
  assert.equal(row(burn, 300)?.burnRate.toFixed(6), '50.000000');
  assert.deepEqual([burn.hosts, burn.missing], [['a', 'b'], ['c']]);
  assert.deepEqual([burn.evictions, burn.batchCompleted], [4n, 10n]);
});
