/** Waits of each class of work in a shard that is offered more than it holds. */
import {
  decision,
  parseTaskId,
  plan,
  seededRandom,
  type Decision,
} from '@paddlewind/domain';

import { report } from '../report.js';

import { commit, newShardLoop, type ShardLoop } from './shard-loop.js';
import { SHARD_WORKERS, drawJob } from './workload.js';

const STEP_MS = 1_000;
const STEPS = 3_600;
/** Offered work over what the shard holds. */
const LOADS = [0.9, 1.1];
const MEAN_RUN_MS = 60_000;
/** Time from the decision to evict until the attempt has ended. */
const GRACE_MS = 1_000;
const LARGE_CORES = 48;
const LARGE_SHARE = 0.002;

const KINDS = ['urgent', 'normal', 'low', 'large'] as const;
type Kind = (typeof KINDS)[number];

interface RunningAttempt {
  readonly task: string;
  readonly attempt: number;
  endsAt: number;
  result: 'completed' | 'stopped';
}

interface Waits {
  readonly loop: ShardLoop;
  readonly running: Map<string, RunningAttempt>;
  readonly submittedAt: Map<string, { at: number; kind: Kind }>;
  readonly waited: Record<Kind, number[]>;
  evictions: number;
  /** When each kind last started or began to wait, and the longest time between. */
  readonly servedAt: Record<Kind, number>;
  readonly longestGap: Record<Kind, number>;
  /** Cores submitted beyond what the steps so far offer. */
  ahead: number;
}

/** Runs an hour of an overloaded shard in simulated time and prints the waits of each class. */
export function measureWaits(seed: number): void {
  LOADS.forEach(load => {
    measureAt(load, seed);
  });
}

function measureAt(load: number, seed: number): void {
  const waits: Waits = {
    loop: newShardLoop('waits', SHARD_WORKERS, seededRandom(seed)),
    running: new Map(),
    submittedAt: new Map(),
    waited: { urgent: [], normal: [], low: [], large: [] },
    evictions: 0,
    servedAt: { urgent: 0, normal: 0, low: 0, large: 0 },
    longestGap: { urgent: 0, normal: 0, low: 0, large: 0 },
    ahead: 0,
  };
  const cores = waits.loop.view.workers.reduce(
    (sum, worker) => sum + worker.capacity.cpu,
    0,
  );
  const coresPerStep = (load * cores * STEP_MS) / MEAN_RUN_MS;
  for (let step = 0; step < STEPS; step++) {
    waits.loop.now += STEP_MS;
    submitCores(waits, coresPerStep);
    endDue(waits);
    decideAll(waits);
    noteGaps(waits);
  }
  for (const kind of KINDS) {
    printWaits(waits, kind, load, seed);
  }
}

function submitCores(waits: Waits, cores: number): void {
  const { loop } = waits;
  waits.ahead -= cores;
  while (waits.ahead < 0) {
    const name = `j${loop.jobs}`;
    loop.jobs += 1;
    let job = drawJob(name, 1, loop.random);
    let kind = (job.labels.work ?? 'normal') as Kind;
    if (loop.random() < LARGE_SHARE) {
      kind = 'large';
      const size = { cpu: LARGE_CORES, memoryMiB: 1_024, accelerators: 0 };
      job = { ...job, size, labels: { work: 'normal' } };
    }
    waits.ahead += job.size.cpu;
    const expectedSeconds = MEAN_RUN_MS / 1_000;
    const body = {
      job: { ...job, expectedSeconds },
      shard: loop.view.shard,
      submittedAtWall: loop.now,
    };
    commit(loop, [decision('job_submitted', body)]);
    waits.submittedAt.set(name, { at: loop.now, kind });
  }
}

function endDue(waits: Waits): void {
  const { loop } = waits;
  const ends: Decision[] = [];
  for (const each of waits.running.values()) {
    if (each.endsAt <= loop.now) {
      const { task, attempt, result } = each;
      waits.running.delete(task);
      ends.push(
        decision('task_ended', {
          shard: loop.view.shard,
          epoch: 1,
          task,
          attempt,
          result,
          atWall: loop.now,
        }),
      );
    }
  }
  commit(loop, ends);
}

function decideAll(waits: Waits): void {
  const { loop } = waits;
  const made = plan(loop.state, loop.view, loop.now, loop.random);
  commit(loop, made);
  for (const each of made) {
    if (each.kind === 'task_started') {
      noteStart(waits, each.body.task, each.body.attempt);
    } else if (each.kind === 'task_evicting') {
      noteEviction(waits, each.body.task);
    }
  }
}

function noteStart(waits: Waits, task: string, attempt: number): void {
  const { loop } = waits;
  const runMs = MEAN_RUN_MS * (0.5 + loop.random());
  const endsAt = loop.now + runMs;
  waits.running.set(task, { task, attempt, endsAt, result: 'completed' });
  const { job } = parseTaskId(task);
  const submitted = waits.submittedAt.get(job);
  if (submitted !== undefined) {
    waits.waited[submitted.kind].push(loop.now - submitted.at);
    waits.servedAt[submitted.kind] = loop.now;
    waits.submittedAt.delete(job);
  }
}

/** Notes how long each kind has waited without any of it being started. */
function noteGaps(waits: Waits): void {
  const { now } = waits.loop;
  const waiting = new Set(
    [...waits.submittedAt.values()].map(each => each.kind),
  );
  for (const kind of KINDS) {
    if (!waiting.has(kind)) {
      waits.servedAt[kind] = now;
    }
    const gap = now - waits.servedAt[kind];
    waits.longestGap[kind] = Math.max(waits.longestGap[kind], gap);
  }
}

function noteEviction(waits: Waits, task: string): void {
  waits.evictions += 1;
  const attempt = waits.running.get(task);
  if (attempt !== undefined) {
    attempt.endsAt = waits.loop.now + GRACE_MS;
    attempt.result = 'stopped';
  }
}

function printWaits(
  waits: Waits,
  kind: Kind,
  load: number,
  seed: number,
): void {
  const { now } = waits.loop;
  const started = waits.waited[kind].sort((a, b) => a - b);
  const waiting = [...waits.submittedAt.values()]
    .filter(each => each.kind === kind)
    .map(each => now - each.at);
  const quantile = (part: number) =>
    started[Math.floor(part * (started.length - 1))] ?? null;
  report({
    bench: 'placement',
    part: 'waits',
    seed,
    load,
    kind,
    started: started.length,
    p50Ms: quantile(0.5),
    p99Ms: quantile(0.99),
    maxMs: quantile(1),
    stillWaiting: waiting.length,
    longestGapMs: waits.longestGap[kind],
    oldestWaitingMs: Math.max(0, ...waiting),
    evictions: waits.evictions,
  });
}
