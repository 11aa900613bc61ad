import assert from 'node:assert/strict';
import test from 'node:test';

import {
  jobSchema,
  objectKey,
  objectSchema,
  seededRandom,
  type ConfigObject,
  type ConfigState,
  type VersionedObject,
} from '@paddlewind/domain';
import type { AttemptReport, Host } from '@paddlewind/ports';
import { createVirtualTime } from '@paddlewind/stand-ins';
import { pino } from 'pino';
import { Registry } from 'prom-client';

import type { LatencyFeed } from '../parts.js';
import type { AttemptControl, RunningAttempt } from '../scheduler/index.js';
import { startInterference } from './start-interference.js';

const WORKERS = 8;
const CORES = 16;
const LAG_MS = 30_000;
const WALL = 1_700_000_000_000;

function configOf(preemptible: boolean): ConfigState {
  const objects: ConfigObject[] = [
    {
      kind: 'service',
      name: 'web',
      team: 'front',
      workers: {},
      size: { cpu: 4, memoryMiB: 1_024 },
      slots: 8,
      connections: 64,
      route: {},
      objective: { target: 0.99, latencyMs: 80 },
    },
    {
      kind: 'policy',
      name: 'noisy',
      order: 1,
      work: { labels: { class: 'noisy' } },
      class: 'batch',
      preemptible,
    },
  ].map(object => objectSchema.parse(object));
  const entries = objects.map(
    (object): [ReturnType<typeof objectKey>, VersionedObject] => [
      objectKey(object.kind, object.name),
      { object, version: 1 },
    ],
  );
  return { offset: 1, objects: new Map(entries) };
}

function hostOf(index: number): Host {
  return {
    id: `w${index}`,
    role: 'worker',
    state: 'live',
    address: `127.0.0.1:${index}`,
    region: 'north',
    availabilityZone: 'salem',
    rack: 'r1',
    labels: {},
    capacity: { cpu: CORES, memoryMiB: 65_536, accelerators: 0 },
    endpoints: { web: `127.0.0.1:${1_000 + index}` },
  };
}

function attemptOf(index: number, startedAtWall: number): RunningAttempt {
  const job = jobSchema.parse({
    kind: 'job',
    name: `job${index}`,
    labels: { class: index % 2 === 0 ? 'noisy' : 'calm' },
    team: 'back',
    tasks: 1,
    size: { cpu: 6, memoryMiB: 1_024 },
    command: ['run'],
  });
  return {
    shard: 's1',
    worker: `w${index % WORKERS}`,
    ref: { task: `job${index}/0`, attempt: 1 },
    job,
    size: job.size,
    startedAtWall,
    savedAtWall: undefined,
  };
}

interface FixtureOptions {
  readonly preemptible?: boolean;
  readonly startedAtWall?: number;
  /** Tells whether the agent accepts a throttle command; always if absent. */
  readonly acceptsThrottle?: () => boolean;
}

/** Creates workers with one task each; noisy tasks slow the service on their worker by their share of cores. */
function createFixture(options: FixtureOptions) {
  const time = createVirtualTime();
  const random = seededRandom(3);
  const wall = () => WALL + time.clock();
  const attempts = Array.from({ length: WORKERS }, (_, i) =>
    attemptOf(i, options.startedAtWall ?? wall()),
  );
  const shares = new Map(attempts.map(({ ref }) => [ref.task, 1]));
  const commands: { task: string; share: number; at: number }[] = [];
  const evicted: string[] = [];
  const weights = new Map<string, number>();
  const control: AttemptControl = {
    running: () => attempts,
    throttle: ({ ref }, share) => {
      commands.push({ task: ref.task, share, at: time.clock() });
      const accepted = options.acceptsThrottle?.() ?? true;
      if (accepted) {
        shares.set(ref.task, share);
      }
      return Promise.resolve(accepted);
    },
    evict: ({ ref }) => {
      evicted.push(ref.task);
      return true;
    },
  };
  const listeners = new Set<Parameters<LatencyFeed['onSample']>[0]>();
  const latency: LatencyFeed = {
    onSample: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    steer: (_service, worker, weight) => {
      weights.set(worker, weight);
    },
  };
  const config = configOf(options.preemptible ?? true);
  const hosts = Array.from({ length: WORKERS }, (_, i) => hostOf(i));
  const part = startInterference({
    ctx: {
      clock: time.clock,
      schedule: time.schedule,
      random,
      log: pino({ level: 'silent' }),
      metrics: new Registry(),
    },
    cfg: { region: 'north', availabilityZone: 'salem' },
    wall,
    config: {
      current: () => config,
      inForce: () => true,
      onChange: () => () => undefined,
    },
    hosts: { hosts: () => hosts, onChange: () => () => undefined },
  });
  part.connect(control, latency);

  function serve(): void {
    for (const { ref, worker, job } of attempts) {
      const share = shares.get(ref.task) ?? 1;
      const noisy = job.labels.class === 'noisy' ? 2 : 0;
      const level = Math.log(20) + noisy * share * (6 / CORES);
      const weight = weights.get(worker) ?? 1;
      for (let i = 0; i < Math.ceil(10 * weight); i++) {
        const spread = random() + random() + random() - 1.5;
        const latencyMs = Math.exp(level + spread);
        listeners.forEach(listener => {
          listener({ service: 'web', worker, latencyMs, at: time.clock() });
        });
      }
    }
  }

  async function run(seconds: number): Promise<void> {
    for (let second = 0; second < seconds; second++) {
      serve();
      await time.advance(1_000);
      attempts.forEach(each => {
        report(each, shares.get(each.ref.task) ?? 1);
      });
    }
  }

  function report({ ref, worker, job }: RunningAttempt, share: number): void {
    const attempt: AttemptReport = {
      ...ref,
      job: job.name,
      state: 'running',
      usage: { ...job.size, cpu: job.size.cpu * share },
      progress: 0,
    };
    const lagMs = LAG_MS;
    const boot = 'b';
    part.onReport({ worker, boot, attempts: [attempt], lagMs }, time.clock());
  }

  return { run, part, shares, commands, evicted, weights };
}

test('only the noisy batch class is throttled', async () => {
  const fixture = createFixture({});
  await fixture.run(300);
  fixture.part.stop();
  const isNoisy = (task: string) => Number(/\d+/.exec(task)?.[0]) % 2 === 0;
  const throttled = [...fixture.shares].filter(([, share]) => share < 1);
  assert.ok(throttled.length > 0);
  assert.ok(throttled.every(([task]) => isNoisy(task)));
});

test('a noisy task has a higher placement penalty than a calm one', async () => {
  const fixture = createFixture({});
  await fixture.run(300);
  const noisy = fixture.part.penalty('w1', 'back/noisy', 4);
  assert.ok(noisy > 2 * fixture.part.penalty('w1', 'back/calm', 4));
  assert.equal(fixture.part.penalty('w1', 'back/noisy', 4), noisy);
  fixture.part.stop();
});

test('a throttle command that is not accepted is sent again', async () => {
  let remainingLosses = 5;
  const fixture = createFixture({
    acceptsThrottle: () => remainingLosses-- <= 0,
  });
  await fixture.run(120);
  fixture.part.stop();
  const [first] = fixture.commands;
  assert.ok(first !== undefined && first.share < 1);
  assert.ok([...fixture.shares.values()].some(share => share < 1));
});

test('attempts of an earlier owner are unthrottled once', async () => {
  const fixture = createFixture({ startedAtWall: WALL - 3_600_000 });
  await fixture.run(2);
  fixture.part.stop();
  assert.deepEqual(
    fixture.commands.map(command => command.share),
    new Array(WORKERS).fill(1),
  );
});

test('work that is not preemptible is never evicted', async () => {
  const fixture = createFixture({ preemptible: false });
  await fixture.run(900);
  fixture.part.stop();
  assert.deepEqual(fixture.evicted, []);
});

test('no commands are sent after the policy is stopped', async () => {
  const fixture = createFixture({});
  await fixture.run(60);
  fixture.part.stop();
  const sent = fixture.commands.length;
  await fixture.run(60);
  assert.equal(fixture.commands.length, sent);
});
