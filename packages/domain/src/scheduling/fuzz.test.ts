import assert from 'node:assert/strict';
import test from 'node:test';

import fc from 'fast-check';

import { seededRandom } from '../core/random.js';

import { applyRecord } from './fold.js';
import type { OracleTask } from './testing/oracle.js';
import {
  act,
  append,
  catchUp,
  checkPlaces,
  deliver,
  drop,
  finishOnWorker,
  newWorld,
  planOnce,
  repeat,
  reportEnds,
  restore,
  submitAny,
  takeOver,
  type Owner,
  type World,
} from './testing/world.js';
import { decision, type EndResult } from './records.js';
import { exportSchedule } from './snapshot.js';
import { createScheduleState } from './state.js';

const ACTIONS = [
  'submit',
  'submit',
  'round',
  'round',
  'round',
  'round',
  'cancel',
  'plan',
  'plan',
  'plan',
  'deliver',
  'deliver',
  'deliver',
  'catchUp',
  'catchUp',
  'catchUp',
  'act',
  'act',
  'end',
  'end',
  'spoil',
  'spoil',
  'report',
  'drop',
  'repeat',
  'takeOver',
  'restore',
  'drain',
  'wait',
] as const;

type Action = (typeof ACTIONS)[number];
type Step = readonly [action: Action, n: number];

const RESULTS: readonly EndResult[] = [
  'completed',
  'completed',
  'failed',
  'lost',
  'stopped',
];

function take(world: World, [action, n]: Step): void {
  const owner = world.owners[n % world.owners.length];
  if (owner === undefined) {
    return;
  }
  switch (action) {
    case 'submit':
      submitAny(world, n);
      return;
    case 'cancel':
      append(world, decision('job_cancelled', { job: `j${n % 8}` }));
      return;
    case 'round':
      playRound(world, owner);
      return;
    case 'plan':
      planOnce(world, owner);
      return;
    case 'deliver':
      deliver(world, owner, n >> 3);
      deliver(world, owner, n >> 5);
      return;
    case 'catchUp':
      catchUp(world, owner, 1 + (n >> 2));
      return;
    case 'act':
      act(world, owner);
      return;
    case 'end': {
      const task = [...world.running.keys()][n % (world.running.size || 1)];
      const result = RESULTS[(n >> 3) % RESULTS.length] ?? 'completed';
      if (task !== undefined) {
        finishOnWorker(world, task, result);
      }
      return;
    }
    case 'spoil':
      spoil(world, n);
      return;
    case 'report':
      reportEnds(world, owner);
      return;
    case 'drop':
      drop(owner, n >> 3);
      return;
    case 'repeat':
      repeat(world, n);
      return;
    case 'takeOver':
      takeOver(world, owner.shard);
      return;
    case 'restore':
      restore(owner);
      return;
    case 'drain': {
      const workers = world.workers.get(owner.shard) ?? [];
      world.workers.set(
        owner.shard,
        workers.map((worker, i) =>
          i === n % 3
            ? {
                ...worker,
                availability:
                  worker.availability === 'live' ? 'drained' : 'live',
              }
            : worker,
        ),
      );
      return;
    }
    case 'wait':
      world.now += n * 500;
      return;
  }
}

/** Everything on a worker, or of a job, fails. */
function spoil(world: World, n: number): void {
  const workers = [...world.workers.values()].flat();
  const worker = n < 192 ? workers[n % workers.length]?.id : undefined;
  for (const { task, worker: place } of [...world.running.values()]) {
    const hit =
      worker === undefined ? task.startsWith(`j${n % 8}/`) : place === worker;
    if (hit) {
      finishOnWorker(world, task, 'failed');
    }
  }
}

/** The owner does all its duties, and everything arrives in order. */
function playRound(world: World, owner: Owner): void {
  catchUp(world, owner, Infinity);
  planOnce(world, owner);
  reportEnds(world, owner);
  while (owner.inFlight.length > 0) {
    deliver(world, owner, 0);
  }
  catchUp(world, owner, Infinity);
  act(world, owner);
}

/** Enough for one task at a time of the most that the steps submit. */
const MAX_SETTLING_ROUNDS = 600;

/** Once all goes well again, every task that is not cancelled or impossible completes. */
function settle(world: World): void {
  for (const [shard, workers] of world.workers) {
    const live = workers.map(worker => ({
      ...worker,
      availability: 'live' as const,
    }));
    world.workers.set(shard, live);
  }
  const shards = [...world.workers.keys()];
  const owners = shards.map(shard => takeOver(world, shard));
  for (let i = 0; i < MAX_SETTLING_ROUNDS && !isDone(world); i++) {
    world.now += 700_000;
    for (const job of world.oracle.jobs.keys()) {
      append(world, decision('job_released', { job, request: `r${i}` }));
    }
    for (const owner of [...owners, ...owners]) {
      world.now += 1_000;
      playRound(world, owner);
    }
    for (const task of [...world.running.keys()]) {
      finishOnWorker(world, task, 'completed');
    }
  }
}

/** Returns the tasks that some worker can hold. */
function possibleTasks(world: World): OracleTask[] {
  return [...world.oracle.tasks.values()].filter(
    task => (world.oracle.jobs.get(task.job)?.size.cpu ?? 0) <= 4,
  );
}

function isDone(world: World): boolean {
  return possibleTasks(world).every(task => task.state === 'done');
}

function checkDone(world: World): void {
  for (const task of possibleTasks(world)) {
    assert.equal(task.state, 'done', task.id);
    const cancelled = world.oracle.cancelled.has(task.job);
    assert.ok(cancelled || task.completed, task.id);
  }
}

/** Folds of single shards, from the first record on, agree with the fold of all. */
function checkRefold(world: World): void {
  for (const shard of world.state.shards.keys()) {
    const alone = createScheduleState([shard]);
    world.log.forEach((record, offset) => {
      applyRecord(alone, record, { offset, index: 0 });
    });
    const chunks = (state: typeof alone) =>
      exportSchedule(state).filter(
        chunk => chunk.kind !== 'head' && chunk.shard === shard,
      );
    assert.deepEqual(chunks(alone), chunks(world.state));
  }
}

function runSteps(steps: readonly Step[], seed: number): void {
  const world = newWorld(seededRandom(seed));
  for (const step of steps) {
    take(world, step);
  }
  checkPlaces(world);
  settle(world);
  checkPlaces(world);
  checkRefold(world);
  checkDone(world);
}

/** Steps that once broke a promise, with the seed of the world. */
const CORPUS: readonly (readonly [
  name: string,
  seed: number,
  steps: readonly Step[],
])[] = [
  [
    'quota that was lent away comes back when its lender needs it',
    4,
    [
      ['submit', 40],
      ['submit', 152],
      ['catchUp', 90],
      ['plan', 0],
      ['deliver', 0],
      ['submit', 0],
      ['submit', 0],
      ['catchUp', 51],
      ...Array.from({ length: 11 }, () => ['submit', 0] as const),
      ['plan', 91],
      ['submit', 0],
      ['submit', 0],
      ['submit', 0],
      ['deliver', 63],
      ['submit', 0],
    ],
  ],
  [
    'a move of a cancelled job is void in the shard it goes to as well',
    3,
    [
      ['takeOver', 0],
      ['submit', 0],
      ['takeOver', 0],
      ['catchUp', 91],
      ['cancel', 0],
      ...Array.from({ length: 29 }, () => ['submit', 0] as const),
      ['takeOver', 33],
      ['submit', 0],
      ['submit', 0],
      ['submit', 0],
      ['plan', 153],
      ['submit', 0],
      ['submit', 0],
      ['deliver', 58],
      ['submit', 0],
      ['submit', 0],
      ['submit', 0],
    ],
  ],
];

for (const [name, seed, steps] of CORPUS) {
  test(name, () => {
    runSteps(steps, seed);
  });
}

const stepsArb = fc.array(
  fc.tuple(fc.constantFrom(...ACTIONS), fc.nat({ max: 255 })),
  { minLength: 40, maxLength: 200, size: 'max' },
);

const SEEDS = [1, 2, 3, 4];
const RUNS = Number(process.env.SCHED_FUZZ_RUNS ?? 25);

for (const seed of SEEDS) {
  test(`any order of faults keeps the promises, seed ${seed}`, () => {
    const property = fc.property(stepsArb, steps => {
      runSteps(steps, seed);
    });
    fc.assert(property, { seed, numRuns: RUNS });
  });
}
