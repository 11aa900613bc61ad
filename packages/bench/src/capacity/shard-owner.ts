/** What owning a shard takes: state and processor time by task, bytes of its records. */
import { encodeBatch, decision, seededRandom } from '@paddlewind/domain';

import { cpuMicroseconds, retainedBytes } from '../heap.js';
import {
  endSome,
  newShardLoop,
  settle,
  submitJob,
  type ShardLoop,
} from '../placement/shard-loop.js';
import { measure } from './measure.js';

/** 74,000 tasks in 100 shards of 31 workers. */
const DESIGNED_TASKS = 740;
const TASKS_PER_WORKER = 24;
const TASKS_PER_JOB = 20;
const SIZES = [185, 370, 740, 1_480, 2_960];
const ROUNDS = 200;

function shardOf(tasks: number): ShardLoop {
  const workers = Math.ceil(tasks / TASKS_PER_WORKER);
  const loop = newShardLoop('shard', workers, seededRandom(1));
  for (let tries = 0; loop.running.length < tasks && tries < tasks; tries++) {
    submitJob(loop, TASKS_PER_JOB);
    settle(loop, tasks);
  }
  return loop;
}

/** Ends one task and starts another in each round; both are decided, encoded, decoded and folded. */
function microsecondsPerTurnover(tasks: number): number {
  const loop = shardOf(tasks);
  const spent = cpuMicroseconds(() => {
    for (let i = 0; i < ROUNDS; i++) {
      loop.now += 1_000;
      endSome(loop, 1);
      if (i % TASKS_PER_JOB === 0) {
        submitJob(loop, TASKS_PER_JOB);
      }
      settle(loop, tasks);
    }
  });
  return spent / ROUNDS;
}

function lifecycleBytes(tasks: number): number {
  const records = Array.from({ length: tasks }, (_, i) => {
    const common = {
      shard: 'salem-12',
      epoch: 7,
      task: `j-123456/${i}`,
      attempt: 1,
    };
    return [
      decision('task_started', {
        ...common,
        worker: 'worker-1234',
        atWall: 1_733_155_200_000,
      }),
      decision('task_ended', {
        ...common,
        result: 'completed',
        atWall: 1_733_155_200_000,
      }),
    ];
  });
  return encodeBatch(records.flat()).length;
}

/** Measures the role. */
export function measureShardOwner(): void {
  const role = 'shard owner';
  const common = { role, per: 'tasks', sizes: SIZES, designed: DESIGNED_TASKS };
  measure({
    ...common,
    quantity: 'state',
    unit: 'bytes',
    at: tasks => retainedBytes(() => shardOf(tasks)),
  });
  measure({
    ...common,
    quantity: 'processor time of an end and a start',
    unit: 'microseconds',
    at: microsecondsPerTurnover,
  });
  measure({
    role,
    quantity: 'bytes of the records of a start and an end',
    unit: 'bytes',
    per: 'tasks in one batch',
    sizes: [1, 4, 16, 64],
    designed: 1,
    at: lifecycleBytes,
  });
}
