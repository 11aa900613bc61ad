/*
 * Guards against long-running tasks that move several times during one release: 20 of 40 workers are replaced,
 * three at a time, and each announces its departure 3 s before it leaves. Each move interrupts a task for a
 * stop and a start. The first workers that leave have no successors yet, so their tasks may move twice.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { seededRandom } from '../core/random.js';
import type { Run, Step, Task } from './job.js';
import { workerRuns, type JobsState } from './jobs-state.js';
import { planMovesOffLeaving } from './moves-off-leaving.js';
import type { PlanWorker, WorkerInfo } from './placement.js';
import { findWorker, planStarts, type PlanInput } from './plan.js';
import type { JobSpec, StepSpec } from './spec.js';
import {
  applyDecision,
  endRun,
  planInput,
  startOn,
  stateOf,
  taskOf,
  testJob,
  testWorker,
} from './test-support.js';
import { WorkerVersions } from './worker-versions.js';

const WORKERS = 40;
const REPLACED = 20;
const GROUP = 3;
const ROUND_MS = 400;
const NOTICE_MS = 3_000;
/** Time from the departure of a group until the next one announces its own. */
const GROUP_GAP_MS = 2_000;
/** Eight jobs of 14 tasks: 112 of 160 cores. With more, only new workers have capacity for tasks that move. */
const JOBS = 8;
const TASKS = 14;

function versioned(id: string, version: string): PlanWorker {
  const worker = testWorker(id);
  return { ...worker, info: { ...worker.info, version } };
}

function longRunningJobs(): JobSpec[] {
  return Array.from({ length: JOBS }, (_, at) =>
    testJob(`job${at}`, [{ tasks: TASKS, lasting: true }]),
  );
}

/** A release that is simulated in rounds, each of which reads the registry and plans. */
class Release {
  readonly moves = new Map<Task, number>();
  private readonly state: JobsState = stateOf(...longRunningJobs());
  private workers: WorkerInfo[] = [];
  private versions = new WorkerVersions();
  private readonly moving = new Set<Task>();
  private now = 0;

  constructor(private readonly isEnabled: boolean) {}

  /** Replaces workers by ones of version `to`; calls `afterGroup` after each departure. */
  replaceWorkers(
    replaced: readonly string[],
    to: string,
    afterGroup: (groups: number) => void = () => undefined,
  ): void {
    for (let at = 0; at < replaced.length; at += GROUP) {
      const group = new Set(replaced.slice(at, at + GROUP));
      this.workers = this.workers.map(info =>
        group.has(info.id) ? { ...info, leaving: true } : info,
      );
      this.advance(NOTICE_MS);
      this.lose(group);
      for (const id of group) {
        this.workers.push(versioned(`${id}.${to}`, to).info);
      }
      this.advance(GROUP_GAP_MS);
      afterGroup(at / GROUP + 1);
    }
  }

  begin(): void {
    this.workers = Array.from(
      { length: WORKERS },
      (_, at) => versioned(`w${at}`, '1').info,
    );
    this.advance(ROUND_MS);
    this.moves.clear();
  }

  /** Loses workers at once, with all that runs there. */
  lose(ids: ReadonlySet<string>): void {
    this.workers = this.workers.filter(({ id }) => !ids.has(id));
    for (const id of ids) {
      for (const run of [...workerRuns(this.state, id).runs.values()]) {
        endRun(this.state, run, 'lapsed');
      }
    }
  }

  /** Continues as a leader that knows nothing but the registry. */
  changeLeader(): void {
    this.versions = new WorkerVersions();
  }

  registered(): string[] {
    return this.workers.map(({ id }) => id);
  }

  runningTasks(): number {
    return this.registered().reduce(
      (sum, id) => sum + workerRuns(this.state, id).runs.size,
      0,
    );
  }

  advance(span: number): void {
    for (const end = this.now + span; this.now < end; this.now += ROUND_MS) {
      this.versions.apply(this.workers, this.now);
      this.planRound();
    }
  }

  private planRound(): void {
    const usable = this.workers.filter(({ leaving }) => !leaving);
    const input: PlanInput = {
      ...planInput(
        this.state,
        usable.map(info => ({ info, trusted: true })),
      ),
      time: { now: this.now, nowWall: this.now },
      movingTasks: [...this.moving],
      newestVersions: this.isEnabled
        ? this.versions.newestVersions(this.now)
        : undefined,
    };
    planStarts(input, decision => {
      const run = applyDecision(this.state, decision);
      assert.ok(run.progress);
      run.progress.confirmed = true;
      this.moving.delete(run.task);
      this.moves.set(run.task, (this.moves.get(run.task) ?? 0) + 1);
    });
    const { stop } = planMovesOffLeaving(input, this.runsOnLeaving());
    for (const run of stop) {
      endRun(this.state, run, 'stopped');
      this.moving.add(run.task);
    }
  }

  private runsOnLeaving(): Run[] {
    return this.workers
      .filter(({ leaving }) => leaving)
      .flatMap(({ id }) => [...workerRuns(this.state, id).runs.values()]);
  }
}

/** Returns half of the workers in a random order. */
function halfOfWorkers(seed: number): string[] {
  const random = seededRandom(seed);
  return Array.from({ length: WORKERS }, (_, at) => ({
    id: `w${at}`,
    order: random(),
  }))
    .sort((a, b) => a.order - b.order)
    .slice(0, REPLACED)
    .map(({ id }) => id);
}

function countMovedAgain({ moves }: Release): number {
  return [...moves.values()].filter(count => count > 1).length;
}

function simulatedRelease(seed: number, isEnabled: boolean): Release {
  const release = new Release(isEnabled);
  release.begin();
  release.replaceWorkers(halfOfWorkers(seed), '2');
  return release;
}

/** Half of the tasks that the first group can have: four on each worker. */
const MAX_MOVED_AGAIN = (GROUP * 4) / 2;

for (const seed of [1, 2, 3, 4]) {
  test(`(nearly) no long-running task moves more than once in a release, seed ${seed}`, () => {
    const release = simulatedRelease(seed, true);
    assert.equal(release.runningTasks(), JOBS * TASKS);
    assert.ok(countMovedAgain(release) <= MAX_MOVED_AGAIN);
  });

  test(`without the preference many long-running tasks move several times, seed ${seed}`, () => {
    const release = simulatedRelease(seed, false);
    assert.ok(countMovedAgain(release) > MAX_MOVED_AGAIN);
  });
}

test('a leader that takes over halfway through a release keeps the preference', () => {
  for (const seed of [5, 6]) {
    const release = new Release(true);
    release.begin();
    release.replaceWorkers(halfOfWorkers(seed), '2', groups => {
      if (groups === 2 || groups === 4) {
        release.changeLeader();
      }
    });
    assert.ok(countMovedAgain(release) <= MAX_MOVED_AGAIN);
  }
});

test('long-running tasks follow a rollback, although its version is older', () => {
  const release = simulatedRelease(7, true);
  release.advance(12_000);
  release.moves.clear();
  const replaced = release.registered().filter(id => id.endsWith('.2'));
  release.replaceWorkers(replaced, '1');
  assert.equal(release.runningTasks(), JOBS * TASKS);
  assert.ok(countMovedAgain(release) <= MAX_MOVED_AGAIN);
});

test('tasks of a crashed worker of the new version run on at once, and move at most once more', () => {
  const release = new Release(true);
  release.begin();
  release.replaceWorkers(halfOfWorkers(8), '2', groups => {
    if (groups === 3) {
      const crashed = release.registered().find(id => id.endsWith('.2'));
      release.lose(new Set([crashed ?? '']));
      release.advance(ROUND_MS);
      assert.equal(release.runningTasks(), JOBS * TASKS);
    }
  });
  assert.equal(release.runningTasks(), JOBS * TASKS);
  assert.ok(Math.max(...release.moves.values()) <= 2);
});

const NEWEST = new Map([['main', '2']]);
/** Version 1 on `old`, which is partly used and so the better one by packing, and version 2 on `new`. */
const TWO_VERSIONS = [versioned('old', '1'), versioned('new', '2')];

/** Returns where a task of `step` would be placed beside a run on `old`, after `prepare`. */
function placeOf(
  step: Partial<StepSpec>,
  prepare: (task: Task, state: JobsState) => void = () => undefined,
  change: Partial<PlanInput> = {},
): string | undefined {
  const state = stateOf(
    testJob('beside', [{ tasks: 4, lasting: true }]),
    testJob('job', [{ tasks: 1, ...step }]),
  );
  startOn(state, taskOf(state, 'beside', 0, 0), 'old');
  const task = taskOf(state, 'job', 0, 0);
  prepare(task, state);
  const input = planInput(state, TWO_VERSIONS);
  return findWorker({ ...input, newestVersions: NEWEST, ...change }, task)?.info
    .id;
}

test('long-running tasks and those expected to run over 3 s prefer the newest version', () => {
  assert.equal(placeOf({ lasting: true }), 'new');
  assert.equal(placeOf({ lasting: true, tailTargetMs: 50 }), 'new');
  assert.equal(placeOf({ estimateMs: 3_001 }), 'new');
  assert.equal(placeOf({ estimateMs: 3_000 }), 'old');
});

test('long fillers prefer the newest version although it serves, short ones the idle worker', () => {
  const servesOnNew = (_: Task, state: JobsState): void => {
    const serving = taskOf(state, 'beside', 0, 1);
    startOn(state, serving, 'new');
    startOn(state, taskOf(state, 'beside', 0, 2), 'new');
  };
  const filler = { filler: true, image: 'f' };
  const long = { ...filler, estimateMs: 4_000 };
  assert.equal(placeOf({ ...filler, estimateMs: 900 }, servesOnNew), 'old');
  assert.equal(placeOf(long, servesOnNew), 'new');
});

test('without a release, or without versions, nothing prefers a version', () => {
  const lasting = { lasting: true };
  const off = { newestVersions: undefined };
  assert.equal(placeOf(lasting, undefined, off), 'old');
  const workers = [testWorker('old'), testWorker('new')];
  assert.equal(placeOf(lasting, undefined, { workers }), 'old');
  const other = { newestVersions: new Map([['other', '2']]) };
  assert.equal(placeOf(lasting, undefined, other), 'old');
});

test('a task is placed on an old worker where the new ones have no capacity', () => {
  const fill = (_: Task, state: JobsState): void => {
    for (const at of [1, 2, 3]) {
      startOn(state, taskOf(state, 'beside', 0, at), 'new');
    }
  };
  const size = { cpuMilli: 2_000, memoryMiB: 100, accelerators: 0 };
  assert.equal(placeOf({ lasting: true, size }, fill), 'old');
});

test('a failure on a new worker outweighs its version', () => {
  const failOnNew = (task: Task, state: JobsState): void => {
    endRun(state, startOn(state, task, 'new'), 'failed');
  };
  assert.equal(placeOf({ lasting: true }, failOnNew), 'old');
});

test('an untrusted worker of the new version gets no task that has failed before', () => {
  const failOnOther = (task: Task, state: JobsState): void => {
    endRun(state, startOn(state, task, 'gone'), 'failed');
  };
  const workers = TWO_VERSIONS.map(worker => ({
    ...worker,
    trusted: worker.info.id === 'old',
  }));
  const change = { workers };
  assert.equal(placeOf({ lasting: true }, failOnOther, change), 'old');
});

test('with one version every decision is the same as without versions', () => {
  const decisionsOf = (workers: readonly PlanWorker[]): string[] => {
    const state = stateOf(
      ...longRunningJobs(),
      testJob('batch', [{ tasks: 20, estimateMs: 5_000 }]),
      testJob('filler', [{ tasks: 20, filler: true, estimateMs: 5_000 }]),
    );
    const versions = new WorkerVersions();
    versions.apply(
      workers.map(({ info }, at) => ({ ...info, leaving: at < GROUP })),
      0,
    );
    const input = planInput(state, workers.slice(GROUP));
    const newestVersions = versions.newestVersions(0);
    const found: string[] = [];
    planStarts({ ...input, newestVersions }, decision => {
      const { worker, task } = decision;
      const { spec } = task.step.occurrence.job;
      applyDecision(state, decision);
      found.push(`${spec.id}.${task.index}>${worker}`);
    });
    return found;
  };
  const ids = Array.from({ length: WORKERS }, (_, at) => `w${at}`);
  const same = decisionsOf(ids.map(id => versioned(id, '1')));
  assert.ok(same.length > WORKERS);
  assert.deepEqual(same, decisionsOf(ids.map(id => testWorker(id))));
});

test('the expected time of a step is looked up once a round, not for each worker', () => {
  const lookups = new Map<Step, number>();
  const times = {
    ...planInput(stateOf(), []).times,
    expectedMs: (step: Step) => {
      lookups.set(step, (lookups.get(step) ?? 0) + 1);
      return 5_000;
    },
  };
  const workers = Array.from({ length: 100 }, (_, at) =>
    versioned(`w${at}`, '2'),
  );
  const state = stateOf(testJob('job', [{ tasks: 8 }]));
  const input = { ...planInput(state, workers), newestVersions: NEWEST, times };
  const before = taskOf(state, 'job', 0, 0);
  findWorker(input, before);
  findWorker(input, before);
  assert.deepEqual([...lookups.values()], [1]);
});
