import assert from 'node:assert/strict';
import test from 'node:test';

import fc from 'fast-check';

import { seededRandom } from '../core/random.js';
import { adviseActions } from './advise.js';
import { CLASS_SLOTS } from './classes.js';
import { createPolicyMemory, MAX_CHANGES_PER_HOUR } from './memory.js';
import {
  createInterferenceModel,
  observeLatency,
  observeUsage,
} from './model.js';
import { placementPenalty, MAX_PENALTY } from './penalty.js';
import { MIN_SHARE, STEER_LEVELS } from './settings.js';
import type { Action, BatchTaskView, InterferenceView } from './view.js';

const HOUR_MS = 3_600_000;
const WORKERS = 5;
const CORES = 16;

interface FakeTask {
  readonly id: string;
  readonly batchClass: string;
  readonly cores: number;
  readonly preemptible: boolean;
  readonly evictionsPerHour: number;
  worker: number;
  share: number;
}

const scenario = fc.record({
  seed: fc.integer(),
  weights: fc.record({
    tailLatency: fc.integer({ min: 0, max: 9 }),
    batchThroughput: fc.integer({ min: 0, max: 9 }),
    evictions: fc.integer({ min: 0, max: 9 }),
  }),
  classes: fc.integer({ min: 1, max: 40 }),
  limitMs: fc.integer({ min: 5, max: 200 }),
  stepMs: fc.constantFrom(500, 1_000, 5_000, 30_000),
  obeyedFraction: fc.constantFrom(0, 0.5, 1),
});

type Scenario = typeof scenario extends fc.Arbitrary<infer T> ? T : never;

function drawTasks(drawn: Scenario, random: () => number): FakeTask[] {
  return Array.from({ length: 12 }, (_, i) => ({
    id: `t${i}`,
    batchClass: `c${Math.floor(random() * drawn.classes)}`,
    cores: 1 + Math.floor(random() * 4),
    preemptible: random() < 0.5,
    evictionsPerHour: Math.floor(random() * 3),
    worker: Math.floor(random() * WORKERS),
    share: 1,
  }));
}

function viewOf(drawn: Scenario, tasks: FakeTask[]): InterferenceView {
  return {
    services: [{ name: 'web', target: 0.99, latencyMs: drawn.limitMs }],
    workers: Array.from({ length: WORKERS }, (_, index) => ({
      name: `w${index}`,
      cores: CORES,
      freeCores: 4,
      services: ['web'],
      tasks: tasks
        .filter(task => task.worker === index)
        .map((task): BatchTaskView => ({
          task: task.id,
          attempt: 1,
          batchClass: task.batchClass,
          cores: task.cores,
          share: task.share,
          preemptible: task.preemptible,
          evictionsPerHour: task.evictionsPerHour,
          uncheckpointedSeconds: 0,
          startedAt: 0,
        })),
    })),
  };
}

/** Simulates up to two hours of erratic load and returns the actions with their instants. */
function simulate(
  drawn: Scenario,
): { at: number; action: Action; task: FakeTask | undefined }[] {
  const random = seededRandom(drawn.seed);
  const model = createInterferenceModel();
  const memory = createPolicyMemory();
  const tasks = drawTasks(drawn, random);
  const actions: { at: number; action: Action; task: FakeTask | undefined }[] =
    [];
  const steps = Math.min(600, (2 * HOUR_MS) / drawn.stepMs);
  const slowness = new Float64Array(WORKERS).fill(1);
  let now = 0;
  for (let step = 0; step < steps; step++) {
    now += drawn.stepMs * (random() < 0.01 ? 20 : 1);
    if (random() < 0.05) {
      slowness[Math.floor(random() * WORKERS)] = 0.5 + 3 * random();
    }
    for (let i = 0; i < 30; i++) {
      const worker = Math.floor(random() * WORKERS);
      const latencyMs =
        random() < 0.01
          ? [NaN, -1, Infinity, 1e9][i % 4]
          : 10 * (slowness[worker] ?? 1) * Math.exp(2 * random() * random());
      observeLatency(model, {
        service: 'web',
        worker: `w${worker}`,
        latencyMs: latencyMs ?? 0,
        at: now,
      });
    }
    const view = viewOf(drawn, tasks);
    for (const worker of view.workers) {
      observeUsage(
        model,
        {
          worker: worker.name,
          asOf: now - 30_000 * random(),
          uses: worker.tasks.map(task => ({
            batchClass: task.batchClass,
            share: random() * 1.5 - 0.2,
          })),
        },
        now,
      );
    }
    for (const action of adviseActions(
      model,
      memory,
      view,
      drawn.weights,
      now,
    )) {
      const task = tasks.find(
        one => action.kind !== 'steer' && one.id === action.task,
      );
      actions.push({ at: now, action, task });
      if (task !== undefined && random() < drawn.obeyedFraction) {
        task.share = action.kind === 'throttle' ? action.share : 1;
        task.worker =
          action.kind === 'evict'
            ? Math.floor(random() * WORKERS)
            : task.worker;
      }
    }
    const penalty = placementPenalty(model, view, drawn.weights, now);
    const price = penalty('w0', 'c0', 4);
    assert.ok(price >= 0 && price <= MAX_PENALTY);
    assert.ok(model.classes.slots.size < CLASS_SLOTS);
    for (const pair of model.pairs.get('web')?.values() ?? []) {
      assert.ok(pair.pending.length <= 24);
      assert.ok(Number.isFinite(pair.offset));
    }
    const service = model.services.get('web');
    assert.ok(service?.filter.mean.every(Number.isFinite) ?? true);
  }
  return actions;
}

function maxPerHour(instants: readonly number[]): number {
  return Math.max(
    0,
    ...instants.map(
      from => instants.filter(at => at >= from && at < from + HOUR_MS).length,
    ),
  );
}

test('the simulation leads to every kind of action', () => {
  const kinds = new Set<string>();
  for (const [seed, obeyedFraction] of [
    [1, 1],
    [2, 0],
    [3, 1],
  ] as const) {
    const weights = { tailLatency: 1, batchThroughput: 1, evictions: 1 };
    const drawn = { seed, weights, classes: 4, limitMs: 60, obeyedFraction };
    for (const { action } of simulate({ ...drawn, stepMs: 1_000 })) {
      kinds.add(action.kind);
    }
  }
  assert.deepEqual([...kinds].sort(), ['evict', 'steer', 'throttle']);
});

test('actions stay within their limits', () => {
  fc.assert(
    fc.property(scenario, drawn => {
      const byTarget = new Map<string, number[]>();
      const evicted = new Map<FakeTask, number[]>();
      const taken = simulate(drawn);
      for (const { at, action, task } of taken) {
        const target =
          action.kind === 'steer'
            ? `${action.service} ${action.worker}`
            : action.task;
        switch (action.kind) {
          case 'steer':
            assert.ok(STEER_LEVELS.some(level => level === action.weight));
            break;
          case 'throttle':
            assert.ok(action.share >= MIN_SHARE && action.share <= 1);
            break;
          case 'evict':
            assert.ok(task?.preemptible);
            evicted.set(task, [...(evicted.get(task) ?? []), at]);
            continue;
        }
        byTarget.set(target, [...(byTarget.get(target) ?? []), at]);
      }
      for (const instants of byTarget.values()) {
        assert.ok(maxPerHour(instants) <= MAX_CHANGES_PER_HOUR);
      }
      for (const [task, instants] of evicted) {
        assert.ok(maxPerHour(instants) <= task.evictionsPerHour);
      }
    }),
    { seed: 5, numRuns: 30 },
  );
});
