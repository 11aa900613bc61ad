import assert from 'node:assert/strict';
import test from 'node:test';

import { seededRandom } from '../core/random.js';
import { adviseActions } from './advise.js';
import { batchClassOf } from './batch-class.js';
import { createPolicyMemory } from './memory.js';
import {
  createInterferenceModel,
  learnedSlowdown,
  observeLatency,
  observeUsage,
  type InterferenceModel,
} from './model.js';
import { placementPenalty } from './penalty.js';
import type { Action, BatchTaskView, InterferenceView } from './view.js';

const CORES = 16;
const USAGE_DELAY_MS = 30_000;
const EQUAL_WEIGHTS = { tailLatency: 1, batchThroughput: 1, evictions: 1 };

interface FakeWorker {
  readonly name: string;
  /** Cores in use by class at an instant. */
  readonly uses: (at: number) => Record<string, number>;
  readonly load: (at: number) => number;
}

function normal(random: () => number): number {
  const angle = 2 * Math.PI * random();
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(angle);
}

/** Feeds ten samples per second and worker at load 1, and usage reports of 30 s ago every 5 s. */
function feed(
  model: InterferenceModel,
  workers: readonly FakeWorker[],
  slowdowns: Record<string, number>,
  seconds: number,
  onRound: (at: number) => void,
): void {
  const random = seededRandom(7);
  for (let second = 1; second <= seconds; second++) {
    const at = second * 1_000;
    for (const worker of workers) {
      const load = worker.load(at);
      let level = Math.log(20) + 0.5 * load * load;
      for (const [name, cores] of Object.entries(worker.uses(at))) {
        level += ((slowdowns[name] ?? 0) * cores) / CORES;
      }
      for (let i = 0; i < Math.round(10 * load); i++) {
        const latencyMs = Math.exp(level + 0.4 * normal(random));
        observeLatency(model, {
          service: 'web',
          worker: worker.name,
          latencyMs,
          at,
        });
      }
      if (second % 5 === 0) {
        const asOf = at - USAGE_DELAY_MS;
        const uses = Object.entries(worker.uses(asOf)).map(
          ([batchClass, cores]) => ({ batchClass, share: cores / CORES }),
        );
        observeUsage(model, { worker: worker.name, asOf, uses }, at);
      }
    }
    if (second % 5 === 0) {
      onRound(at);
    }
  }
}

function task(
  id: string,
  batchClass: string,
  cores: number,
  preemptible = true,
): BatchTaskView {
  return {
    task: id,
    attempt: 1,
    batchClass,
    cores,
    share: 1,
    preemptible,
    evictionsPerHour: 2,
    uncheckpointedSeconds: 0,
    startedAt: 0,
  };
}

function viewOf(
  workers: readonly FakeWorker[],
  at: number,
  latencyMs: number,
  shares = new Map<string, number>(),
): InterferenceView {
  return {
    services: [{ name: 'web', target: 0.99, latencyMs }],
    workers: workers.map(worker => ({
      name: worker.name,
      cores: CORES,
      freeCores: 4,
      services: ['web'],
      tasks: Object.entries(worker.uses(at)).map(([name, cores]) => {
        const id = `${worker.name}-${name}`;
        return { ...task(id, name, cores), share: shares.get(id) ?? 1 };
      }),
    })),
  };
}

function alternatingWorker(index: number): FakeWorker {
  return {
    name: `w${index}`,
    uses: at => {
      const phase = Math.floor(at / 60_000) + index;
      return {
        ...(phase % 3 === 0 ? { noisy: 4 } : {}),
        ...(phase % 2 === 0 ? { calm: 6 } : {}),
      };
    },
    load: at => 1 + 0.5 * Math.sin(at / 200_000),
  };
}

const fleet = Array.from({ length: 12 }, (_, i) => alternatingWorker(i));

test('the batch class of a job consists of its team and label', () => {
  assert.equal(batchClassOf('cards', { class: 'nightly' }), 'cards/nightly');
  assert.equal(batchClassOf('cards', { app: 'post' }), 'cards/post');
  assert.equal(batchClassOf('cards', {}), 'cards/default');
});

test('learns slowdowns from delayed usage reports', () => {
  const model = createInterferenceModel();
  const memory = createPolicyMemory();
  feed(model, fleet, { noisy: 2, calm: 0 }, 900, at => {
    adviseActions(model, memory, viewOf(fleet, at, 10_000), EQUAL_WEIGHTS, at);
  });
  const noisy = learnedSlowdown(model, 'web', 'noisy', 0.25);
  const calm = learnedSlowdown(model, 'web', 'calm', 0.25);
  assert.ok(noisy !== undefined && calm !== undefined);
  assert.ok(Math.abs(noisy.mean - 0.5) < 0.1, `noisy ${noisy.mean}`);
  assert.ok(calm.mean < 0.08, `calm ${calm.mean}`);
  assert.ok(noisy.deviation < 0.1);
});

test('does not attribute the effect of load to batch work', () => {
  const model = createInterferenceModel();
  const memory = createPolicyMemory();
  const loaded = fleet.map((worker, i) => ({
    ...worker,
    uses: (): Record<string, number> => (i % 2 === 0 ? { calm: 6 } : {}),
    load: (at: number): number => (at > 300_000 ? 2 : 1),
  }));
  feed(model, loaded, {}, 900, at => {
    adviseActions(model, memory, viewOf(loaded, at, 10_000), EQUAL_WEIGHTS, at);
  });
  const calm = learnedSlowdown(model, 'web', 'calm', 0.375);
  assert.ok(calm !== undefined && calm.mean < 0.08, `calm ${calm?.mean}`);
});

test('throttles the class that slows services down, not the others', () => {
  const model = createInterferenceModel();
  const memory = createPolicyMemory();
  const actions: Action[] = [];
  feed(model, fleet, { noisy: 3, calm: 0 }, 900, at => {
    const limit = at > 600_000 ? 100 : 10_000;
    const view = viewOf(fleet, at, limit);
    actions.push(...adviseActions(model, memory, view, EQUAL_WEIGHTS, at));
  });
  const throttled = actions.filter(
    action => action.kind === 'throttle' && action.share < 1,
  );
  const noisyThrottled = throttled.filter(
    action => action.kind === 'throttle' && action.task.endsWith('noisy'),
  );
  assert.ok(throttled.length > 0);
  assert.ok(noisyThrottled.length >= 0.9 * throttled.length);
});

test('penalizes the placement of classes that slow services down', () => {
  const model = createInterferenceModel();
  const memory = createPolicyMemory();
  feed(model, fleet, { noisy: 3, calm: 0 }, 600, at => {
    adviseActions(model, memory, viewOf(fleet, at, 100), EQUAL_WEIGHTS, at);
  });
  const view = viewOf(fleet, 600_000, 100);
  const penalty = placementPenalty(model, view, EQUAL_WEIGHTS, 600_000);
  const noisy = penalty('w1', 'noisy', 4);
  assert.ok(noisy > 3 * penalty('w1', 'calm', 4), `noisy ${noisy}`);
  assert.equal(penalty('unknown', 'noisy', 4), 0);
});
