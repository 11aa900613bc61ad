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

interface BedOptions {
  readonly preemptible?: boolean;
  readonly startedAtWall?: number;
  /** Tells whether the agent takes a throttle command. */
  readonly takes?: () => boolean;
}

/** Workers with one task each; noisy tasks slow the service beside them by their share of cores. */
function makeBed(options: BedOptions) {
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
      const taken = options.takes?.() ?? true;
      if (taken) {
        shares.set(ref.task, share);
      }
      return Promise.resolve(taken);
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

test('the noisy batch class is throttled, the calm one is not', async () => {
  const bed = makeBed({});
  await bed.run(300);
  bed.part.stop();
  const even = (task: string) => Number(/\d+/.exec(task)?.[0]) % 2 === 0;
  const low = [...bed.shares].filter(([, share]) => share < 1);
  assert.ok(low.length > 0);
  assert.ok(low.every(([task]) => even(task)));
});

test('one more noisy task costs more than one more calm task', async () => {
  const bed = makeBed({});
  await bed.run(300);
  const noisy = bed.part.penalty('w1', 'back/noisy', 4);
  assert.ok(noisy > 2 * bed.part.penalty('w1', 'back/calm', 4));
  assert.equal(bed.part.penalty('w1', 'back/noisy', 4), noisy);
  bed.part.stop();
});

test('a throttle that is not taken is sent again', async () => {
  let lost = 5;
  const bed = makeBed({ takes: () => lost-- <= 0 });
  await bed.run(120);
  bed.part.stop();
  const [first] = bed.commands;
  assert.ok(first !== undefined && first.share < 1);
  assert.ok([...bed.shares.values()].some(share => share < 1));
});

test('attempts of an earlier owner are released once', async () => {
  const bed = makeBed({ startedAtWall: WALL - 3_600_000 });
  await bed.run(2);
  bed.part.stop();
  assert.deepEqual(
    bed.commands.map(command => command.share),
    new Array(WORKERS).fill(1),
  );
});

test('work that is not preemptible is never evicted', async () => {
  const bed = makeBed({ preemptible: false });
  await bed.run(900);
  bed.part.stop();
  assert.deepEqual(bed.evicted, []);
});

test('nothing is sent after the stop', async () => {
  const bed = makeBed({});
  await bed.run(60);
  bed.part.stop();
  const sent = bed.commands.length;
  await bed.run(60);
  assert.equal(bed.commands.length, sent);
});
