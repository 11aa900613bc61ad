/** One shard in a closed loop: ends are recorded, the planner decides, its decisions are folded. */
import {
  applyRecord,
  createScheduleState,
  decision,
  decodeBatch,
  encodeBatch,
  plan,
  type Decision,
  type Random,
  type ScheduleState,
  type ScheduleView,
} from '@paddlewind/domain';

import { drawJob, makeView, makeWorkers } from './workload.js';

/** A shard, its log's next offset and the attempts on its workers. */
export interface ShardLoop {
  readonly state: ScheduleState;
  readonly view: ScheduleView;
  readonly random: Random;
  readonly running: { task: string; attempt: number }[];
  offset: number;
  now: number;
  jobs: number;
  starts: number;
  decisions: number;
}

/** Decisions of a plan that ended for its size, not for lack of work or room. */
const FULL_PLAN = 256;
const START_WALL = 1_000_000;

/** Returns an empty shard of `workers` workers. */
export function newShardLoop(
  name: string,
  workers: number,
  random: Random,
): ShardLoop {
  const loop: ShardLoop = {
    state: createScheduleState([name]),
    view: makeView(name, makeWorkers(workers)),
    random,
    running: [],
    offset: 0,
    now: START_WALL,
    jobs: 0,
    starts: 0,
    decisions: 0,
  };
  const opening = { shard: name, epoch: 1, owner: 'bench' };
  commit(loop, [decision('owner_opened', opening)]);
  return loop;
}

/** Encodes the decisions as one log entry, decodes it and folds it. */
export function commit(loop: ShardLoop, decisions: readonly Decision[]): void {
  const batch = decodeBatch(encodeBatch(decisions)).unwrapOrElse(err => {
    throw new Error(err.message);
  });
  batch.records.forEach((record, index) => {
    const position = { offset: loop.offset, index };
    const verdict = applyRecord(loop.state, record, position);
    if (verdict.kind !== 'applied') {
      throw new Error(`${record.id} was not applied`);
    }
  });
  loop.offset += 1;
}

/** Submits a job with a drawn size. */
export function submitJob(loop: ShardLoop, tasks: number): void {
  const { shard } = loop.view;
  const name = `${shard}-j${loop.jobs}`;
  loop.jobs += 1;
  const job = drawJob(name, tasks, loop.random);
  const body = { job, shard, submittedAtWall: loop.now };
  commit(loop, [decision('job_submitted', body)]);
}

/** Plans and folds until a plan is not full, or `most` tasks run. */
export function settle(loop: ShardLoop, most = Infinity): void {
  while (loop.running.length < most) {
    if (planOnce(loop) < FULL_PLAN) {
      return;
    }
  }
}

/** Plans once, folds what was decided and returns its number. */
export function planOnce(loop: ShardLoop): number {
  const made = plan(loop.state, loop.view, loop.now, loop.random);
  commit(loop, made);
  loop.decisions += made.length;
  noteStarts(loop, made);
  return made.length;
}

function noteStarts(loop: ShardLoop, made: readonly Decision[]): void {
  for (const each of made) {
    if (each.kind === 'task_started') {
      const { task, attempt } = each.body;
      loop.running.push({ task, attempt });
      loop.starts += 1;
    }
  }
}

/** Ends `count` attempts, chosen at random, as completed. */
export function endSome(loop: ShardLoop, count: number): void {
  const ends: Decision[] = [];
  while (ends.length < count && loop.running.length > 0) {
    const at = Math.floor(loop.random() * loop.running.length);
    const last = loop.running.pop();
    const chosen = loop.running[at] ?? last;
    if (last !== undefined && at < loop.running.length) {
      loop.running[at] = last;
    }
    if (chosen === undefined) {
      break;
    }
    ends.push(
      decision('task_ended', {
        shard: loop.view.shard,
        epoch: 1,
        ...chosen,
        result: 'completed',
        atWall: loop.now,
      }),
    );
  }
  commit(loop, ends);
  loop.decisions += ends.length;
}
