/** Decisions a second and bytes of state a task, by the number and the size of shards. */
import { seededRandom } from '@paddlewind/domain';

import { heapBytes } from '../heap.js';
import { report } from '../report.js';

import {
  endSome,
  newShardLoop,
  settle,
  submitJob,
  type ShardLoop,
} from './shard-loop.js';
import { FLEET_TASKS, FLEET_WORKERS } from './workload.js';

/** One setting of the benchmark. */
export interface ThroughputCase {
  /** Multiple of the planned fleet. */
  readonly scale: number;
  readonly shardWorkers: number;
  /** Waiting jobs that each shard is kept at; 0 leaves room on the workers. */
  readonly backlog: number;
  readonly seed: number;
}

const TASKS_PER_JOB = 20;
const ENDS_PER_ROUND = 4;
/** Processor time to measure for, in microseconds. */
const MEASURE_US = 3_000_000;
const WARM_UP_ROUNDS = 400;
const MEBI = 1_048_576;

/** Runs one setting and prints its figures. */
export function measureThroughput(setting: ThroughputCase): void {
  const { scale, shardWorkers, backlog, seed } = setting;
  const random = seededRandom(seed);
  const shards = Math.round((FLEET_WORKERS * scale) / shardWorkers);
  const before = heapBytes();
  const loops = Array.from({ length: shards }, (_, i) =>
    newShardLoop(`s${i}`, shardWorkers, random),
  );
  const tasksPerShard = Math.round((FLEET_TASKS * scale) / shards);
  loops.forEach(loop => {
    fill(loop, tasksPerShard, backlog);
  });
  const running = loops.reduce((sum, loop) => sum + loop.running.length, 0);
  const bytes = heapBytes() - before;
  const figures = churn(loops, backlog);
  report({
    bench: 'placement',
    part: 'throughput',
    scale,
    shards,
    shardWorkers,
    backlog,
    tasksRunning: running,
    startsPerCpuSecond: Math.round(figures.startsPerSecond),
    decisionsPerCpuSecond: Math.round(figures.decisionsPerSecond),
    bytesPerTask: Math.round(bytes / running),
    stateMiB: Math.round(bytes / MEBI),
  });
}

function fill(loop: ShardLoop, tasks: number, backlog: number): void {
  let tries = 0;
  while (loop.running.length < tasks && tries < tasks) {
    submitJob(loop, TASKS_PER_JOB);
    settle(loop, tasks);
    tries += 1;
  }
  topUp(loop, backlog);
  settle(loop);
}

/** Keeps a backlog of waiting jobs. */
function topUp(loop: ShardLoop, backlog: number): void {
  const schedule = loop.state.shards.get(loop.view.shard);
  const waiting = () => schedule?.planning.queued.size ?? 0;
  const missing = backlog - waiting();
  for (let i = 0; i < missing; i++) {
    submitJob(loop, TASKS_PER_JOB);
  }
}

/** Ends and starts tasks on shards at random; submissions are not counted in the time. */
function churn(
  loops: readonly ShardLoop[],
  backlog: number,
): { startsPerSecond: number; decisionsPerSecond: number } {
  const random = seededRandom(7);
  const visit = () => {
    const loop = loops[Math.floor(random() * loops.length)];
    return loop === undefined ? 0 : round(loop, backlog);
  };
  for (let i = 0; i < WARM_UP_ROUNDS; i++) {
    visit();
  }
  const total = (key: 'starts' | 'decisions') =>
    loops.reduce((sum, loop) => sum + loop[key], 0);
  const starts = total('starts');
  const decisions = total('decisions');
  let usedUs = 0;
  while (usedUs < MEASURE_US) {
    usedUs += visit();
  }
  const seconds = usedUs / 1e6;
  return {
    startsPerSecond: (total('starts') - starts) / seconds,
    decisionsPerSecond: (total('decisions') - decisions) / seconds,
  };
}

/** Returns the processor time in microseconds of ends, plans, encoding and folding. */
function round(loop: ShardLoop, backlog: number): number {
  if (backlog === 0) {
    submitJob(loop, ENDS_PER_ROUND);
  } else {
    topUp(loop, backlog);
  }
  loop.now += 1_000;
  const from = process.cpuUsage();
  endSome(loop, ENDS_PER_ROUND);
  settle(loop);
  const { user, system } = process.cpuUsage(from);
  return user + system;
}
