/** A log, owners, workers and operators that misbehave, for the fuzz test. */
import {
  NO_RESOURCES,
  addResources,
  fits,
  type Resources,
} from '../../core/resources.js';
import type { Random } from '../../core/time.js';

import { applyRecord } from '../fold.js';
import { foresee, newOracle, noteHold, type Oracle } from './oracle.js';
import { plan } from '../planning/plan.js';
import { decision, type Decision, type EndResult } from '../records.js';
import { exportSchedule, importSchedule } from '../snapshot.js';
import { createScheduleState, type ScheduleState } from '../state.js';
import {
  OTHER_SHARD,
  SHARD,
  makeJob,
  makePolicy,
  makeWorker,
} from '../test-support.js';
import type { SchedulableWorker, ScheduleView } from '../view.js';

/** A process that owns, or believes to own, a shard. */
export interface Owner {
  readonly shard: string;
  readonly epoch: number;
  state: ScheduleState;
  read: number;
  /** Decided but not appended. */
  inFlight: Decision[];
  /** Decided but not folded. */
  pending: Decision[];
}

/** An attempt that runs on a worker. */
interface Running {
  readonly task: string;
  readonly attempt: number;
  readonly worker: string;
}

/** Everything there is. */
export interface World {
  readonly log: Decision[];
  readonly sent: Decision[];
  /** Fold of every shard, kept up to date. */
  state: ScheduleState;
  readonly oracle: Oracle;
  readonly owners: Owner[];
  readonly workers: Map<string, SchedulableWorker[]>;
  readonly running: Map<string, Running>;
  /** Attempts that a worker has been told of, and must not start again. */
  readonly seen: Set<string>;
  readonly fences: Map<string, number>;
  /** Ended attempts that are not recorded yet. */
  readonly ended: (Running & { result: EndResult })[];
  readonly random: Random;
  now: number;
  jobs: number;
}

const SHARDS = [SHARD, OTHER_SHARD];
const POLICIES = [
  makePolicy('urgent', { priority: 'urgent' }),
  makePolicy('low', { priority: 'low', preemptible: true }),
];
const TEAMS = ['team-a', 'team-b'].map(name => ({
  name,
  weight: 1,
  allotment: { cpu: 7, memoryMiB: 16_384, accelerators: 1 },
}));

function check(holds: boolean, message: string): void {
  if (!holds) {
    throw new Error(message);
  }
}

/** Returns a world with two shards, each with an owner and three workers. */
export function newWorld(random: Random): World {
  const world: World = {
    log: [],
    sent: [],
    state: createScheduleState(SHARDS),
    oracle: newOracle(),
    owners: [],
    workers: new Map(SHARDS.map(shard => [shard, workersOf(shard)])),
    running: new Map(),
    seen: new Set(),
    fences: new Map(),
    ended: [],
    random,
    now: 1_000_000,
    jobs: 0,
  };
  SHARDS.forEach(shard => {
    takeOver(world, shard);
  });
  return world;
}

function workersOf(shard: string): SchedulableWorker[] {
  const accelerators = shard === SHARD ? 0 : 1;
  return [1, 2, 3].map(n =>
    makeWorker(`${shard}-w${n}`, {
      rack: `rack-${n}`,
      capacity: { cpu: 4, memoryMiB: 8_192, accelerators },
    }),
  );
}

/** Appends a record, folds it and compares the verdict with the model's. */
export function append(world: World, record: Decision): void {
  const offset = world.log.length;
  world.log.push(record);
  const expected = foresee(world.oracle, record);
  const verdict = applyRecord(world.state, record, { offset, index: 0 });
  const applied = verdict.kind === 'applied';
  const asExpected = expected === undefined || applied === expected;
  check(asExpected, `${record.id}: ${JSON.stringify(verdict)}`);
  if (applied) {
    noteHold(world.oracle, record);
  }
  if (applied && record.kind === 'task_started') {
    checkCapacity(world, record.body.worker);
    checkQuotas(world);
  }
  if (applied && record.kind === 'quota_lent') {
    checkQuotas(world);
  }
}

/** No team uses more of a shard than its allotment and loans, which add up to its quota. */
function checkQuotas(world: World): void {
  for (const { name, allotment } of TEAMS) {
    let lent = NO_RESOURCES;
    for (const schedule of world.state.shards.values()) {
      const use = schedule.teams.get(name);
      const borrowed = use?.borrowed ?? NO_RESOURCES;
      const limit = addResources(allotment, borrowed);
      check(
        fits(use?.used ?? NO_RESOURCES, limit),
        `${name} is over its quota in ${schedule.name}`,
      );
      lent = addResources(lent, borrowed);
    }
    check(
      fits(lent, NO_RESOURCES) && fits(NO_RESOURCES, lent),
      `the loans of ${name} do not add up`,
    );
  }
}

/** No worker may be given more than it has. */
function checkCapacity(world: World, id: string): void {
  const worker = [...world.workers.values()].flat().find(one => one.id === id);
  let used: Resources = { cpu: 0, memoryMiB: 0, accelerators: 0 };
  for (const task of world.oracle.tasks.values()) {
    const size = world.oracle.jobs.get(task.job)?.size;
    if (task.state === 'running' && task.worker === id && size !== undefined) {
      used = {
        cpu: used.cpu + size.cpu,
        memoryMiB: used.memoryMiB + size.memoryMiB,
        accelerators: used.accelerators + size.accelerators,
      };
    }
  }
  check(
    worker !== undefined && fits(used, worker.capacity),
    `${id} is over capacity`,
  );
}

/** Every fold places each task where the model does. */
export function checkPlaces(world: World): void {
  const folded = new Map<string, string>();
  for (const schedule of world.state.shards.values()) {
    for (const load of schedule.workers.values()) {
      for (const task of load.sizes.keys()) {
        check(!folded.has(task), `${task} is in two places`);
        folded.set(task, `${schedule.name} ${load.id}`);
      }
    }
  }
  const expected = new Map<string, string>();
  for (const task of world.oracle.tasks.values()) {
    if (task.state === 'running') {
      expected.set(task.id, `${task.holder} ${task.worker}`);
    }
  }
  const sorted = (places: Map<string, string>) => [...places].sort();
  check(
    JSON.stringify(sorted(folded)) === JSON.stringify(sorted(expected)),
    'the fold places tasks elsewhere than the model',
  );
}

/** A new owner opens the shard; the old one lives on and does not know. */
export function takeOver(world: World, shard: string): Owner {
  const epoch = 1 + (world.oracle.epochs.get(shard) ?? 0);
  const owner: Owner = {
    shard,
    epoch,
    state: createScheduleState([shard]),
    read: 0,
    inFlight: [],
    pending: [],
  };
  world.owners.push(owner);
  append(world, decision('owner_opened', { shard, epoch, owner: 'h' }));
  return owner;
}

/** The owner folds up to `count` records. */
export function catchUp(world: World, owner: Owner, count: number): void {
  const records = world.log.slice(owner.read, owner.read + count);
  for (const record of records) {
    applyRecord(owner.state, record, { offset: owner.read, index: 0 });
    owner.read += 1;
    owner.pending = owner.pending.filter(each => each.id !== record.id);
  }
}

/** The owner restarts from a snapshot of its state. */
export function restore(owner: Owner): void {
  const chunks: unknown = JSON.parse(
    JSON.stringify(exportSchedule(owner.state)),
  );
  owner.state = importSchedule(chunks as unknown[]).unwrapOrElse(err => {
    throw new Error(err.message);
  });
}

/** The owner plans; its decisions go in flight. */
export function planOnce(world: World, owner: Owner): void {
  const made = plan(owner.state, viewOf(world, owner), world.now, world.random);
  for (const each of made) {
    check(!owner.pending.some(other => other.id === each.id), each.id);
  }
  send(world, owner, made);
}

function send(world: World, owner: Owner, made: readonly Decision[]): void {
  owner.inFlight.push(...made);
  owner.pending.push(...made);
  world.sent.push(...made);
}

function viewOf(world: World, owner: Owner): ScheduleView {
  const { shard, epoch, pending } = owner;
  const siblings = SHARDS.filter(other => other !== shard).map(other => ({
    shard: other,
    workers: world.workers.get(other) ?? [],
  }));
  return {
    shard,
    epoch,
    workers: world.workers.get(shard) ?? [],
    policies: POLICIES,
    teams: TEAMS,
    siblings,
    logAvailable: true,
    pending,
  };
}

/** One of the owner's decisions in flight arrives, whatever their order. */
export function deliver(world: World, owner: Owner, at: number): void {
  const [record] = owner.inFlight.splice(at % (owner.inFlight.length || 1), 1);
  if (record !== undefined) {
    append(world, record);
  }
}

/** One of the owner's decisions surely never arrives. */
export function drop(owner: Owner, at: number): void {
  const [record] = owner.inFlight.splice(at % (owner.inFlight.length || 1), 1);
  owner.pending = owner.pending.filter(each => each !== record);
}

/** A retry of something sent long ago arrives. */
export function repeat(world: World, at: number): void {
  const likely = world.log.filter(each =>
    at % 2 === 0 ? each.kind === 'task_moved' : each.kind !== 'shard_reported',
  );
  const record = likely[at % (likely.length || 1)];
  if (record !== undefined) {
    append(world, record);
  }
}

/** The owner tells workers what its fold says: starts what is placed, stops what is evicted. */
export function act(world: World, owner: Owner): void {
  const schedule = owner.state.shards.get(owner.shard);
  for (const load of schedule?.workers.values() ?? []) {
    const stale = owner.epoch < (world.fences.get(load.id) ?? 0);
    if (stale) {
      continue;
    }
    world.fences.set(load.id, owner.epoch);
    for (const id of load.sizes.keys()) {
      const evicting = load.evicting.has(id);
      const attempt = attemptOf(owner, id);
      if (evicting) {
        stopOnWorker(world, { task: id, attempt, worker: load.id });
      } else {
        startOnWorker(world, { task: id, attempt, worker: load.id });
      }
    }
  }
}

function attemptOf(owner: Owner, id: string): number {
  const slash = id.lastIndexOf('/');
  const job = owner.state.shards.get(owner.shard)?.jobs.get(id.slice(0, slash));
  return job?.tasks.get(Number(id.slice(slash + 1)))?.attempts ?? 0;
}

function startOnWorker(world: World, start: Running): void {
  const key = `${start.task}:${start.attempt}`;
  if (world.seen.has(key)) {
    return;
  }
  world.seen.add(key);
  check(!world.running.has(start.task), `${start.task} runs in two places`);
  world.running.set(start.task, start);
}

function stopOnWorker(world: World, stop: Running): void {
  const key = `${stop.task}:${stop.attempt}`;
  const running = world.running.get(stop.task);
  if (running?.attempt === stop.attempt) {
    finishOnWorker(world, stop.task, 'stopped');
  } else if (!world.seen.has(key)) {
    world.seen.add(key);
    world.ended.push({ ...stop, result: 'stopped' });
  }
}

/** A running attempt ends. */
export function finishOnWorker(
  world: World,
  task: string,
  result: EndResult,
): void {
  const running = world.running.get(task);
  if (running !== undefined) {
    world.running.delete(task);
    world.ended.push({ ...running, result });
  }
}

/** The owner hears of the ended attempts on its workers and records them. */
export function reportEnds(world: World, owner: Owner): void {
  const ids = new Set(world.workers.get(owner.shard)?.map(one => one.id));
  for (const { task, attempt, worker, result } of world.ended) {
    const known = attemptOf(owner, task) === attempt && ids.has(worker);
    const made = decision('task_ended', {
      shard: owner.shard,
      epoch: owner.epoch,
      task,
      attempt,
      result,
      atWall: world.now,
      ...(result === 'stopped' ? { checkpoint: `${task}:${attempt}` } : {}),
    });
    if (known && !owner.pending.some(each => each.id === made.id)) {
      send(world, owner, [made]);
    }
  }
}

/** An operator submits a job. */
export function submitAny(world: World, n: number): void {
  const kinds = ['urgent', 'low', 'normal'];
  const sizes = [1, 2, 4, 9];
  const job = makeJob(`j${world.jobs}`, {
    tasks: 1 + (n % 5),
    team: n % 2 === 0 ? 'team-a' : 'team-b',
    labels: { work: kinds[n % 3] },
    size: {
      cpu: sizes[(n >> 2) % 4],
      memoryMiB: 512,
      accelerators: (n >> 4) % 8 === 0 ? 1 : 0,
    },
    maxAttempts: 100,
  });
  world.jobs += 1;
  const shard = SHARDS[n % 2] ?? SHARD;
  const body = { job, shard, submittedAtWall: world.now };
  append(world, decision('job_submitted', body));
}
