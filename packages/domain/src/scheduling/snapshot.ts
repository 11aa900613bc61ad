/** Snapshots of the folded state, in chunks that fit in log entries. */
import { Result } from 'true-myth';
import { z } from 'zod';

import { resourcesSchema } from '../core/resources.js';
import { jobSchema } from '../declarations/schemas.js';
import { appError, type AppError } from '../errors/app-error.js';

import { taskId } from './ids.js';
import { indexTask, newJob, type Job } from './job.js';
import { evictionReasonSchema } from './records.js';
import {
  markEvicting,
  occupy,
  teamUse,
  workerLoad,
  type ShardSchedule,
} from './shard.js';
import { createScheduleState, type ScheduleState } from './state.js';
import { placementOf, type Task } from './task.js';

/** Tasks and jobs that one chunk holds at most. */
const ITEMS_PER_CHUNK = 500;

const count = z.int().nonnegative();
const signedResources = z.object({
  cpu: z.number(),
  memoryMiB: z.number(),
  accelerators: z.number(),
});
const placementFields = {
  worker: z.string(),
  size: resourcesSchema,
  startedAtWall: z.number(),
};
const taskStateSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('queued'), readyAtWall: z.number() }),
  z.object({ kind: z.literal('running'), ...placementFields }),
  z.object({
    kind: z.literal('evicting'),
    reason: evictionReasonSchema,
    ...placementFields,
  }),
  z.object({ kind: z.literal('held'), reason: z.string() }),
]);
const taskSchema = z.object({
  index: count,
  state: taskStateSchema,
  attempts: count,
  failures: count,
  losses: count,
  moves: count,
  evictedAtWall: z.array(z.number()),
  checkpoint: z.string().optional(),
  progress: z.number(),
  waitingSinceWall: z.number(),
});
const tallySchema = z.object({
  completed: count,
  failed: count,
  cancelled: count,
  moved: count,
});
const jobChunkSchema = z.object({
  kind: z.literal('job'),
  shard: z.string(),
  spec: jobSchema,
  submittedAtWall: z.number(),
  servedAtWall: z.number(),
  arrival: count,
  cancelled: z.boolean(),
  heldFor: z.string().optional(),
  unschedulableFor: z.string().optional(),
  round: count,
  fresh: z.array(z.object({ next: count, end: count })),
  tally: tallySchema,
  failedOn: z.array(z.string()),
  runSeconds: z.number().optional(),
});
const tasksChunkSchema = z.object({
  kind: z.literal('tasks'),
  shard: z.string(),
  job: z.string(),
  tasks: z.array(taskSchema),
});
const workerSchema = z.object({
  id: z.string(),
  failures: z.array(
    z.object({ job: z.string(), task: z.string(), atWall: z.number() }),
  ),
  quarantinedUntilWall: z.number().optional(),
  quarantines: count,
  probe: z.enum(['none', 'passed', 'failed']),
});
const shardChunkSchema = z.object({
  kind: z.literal('shard'),
  shard: z.string(),
  arrivalCount: count,
  arrivals: z.array(z.string()),
  finished: z.array(z.tuple([z.string(), tallySchema])),
  workers: z.array(workerSchema),
  borrowed: z.array(z.tuple([z.string(), signedResources])),
  runFactors: z.array(z.tuple([z.string(), z.number()])),
});
const headChunkSchema = z.object({
  kind: z.literal('head'),
  shards: z.array(z.string()),
  position: z.object({ offset: z.number(), index: z.number() }).optional(),
  openings: z.array(
    z.tuple([z.string(), z.object({ epoch: count, owner: z.string() })]),
  ),
  homes: z.array(z.tuple([z.string(), z.string()])),
  cancelled: z.array(z.string()),
  loans: z.array(z.tuple([z.string(), count])),
  reports: z.array(
    z.object({
      shard: z.string(),
      atWall: z.number(),
      free: signedResources,
      waiting: signedResources,
      lacking: z.record(z.string(), signedResources),
    }),
  ),
});
const chunkSchema = z.discriminatedUnion('kind', [
  headChunkSchema,
  shardChunkSchema,
  jobChunkSchema,
  tasksChunkSchema,
]);

/** One chunk of a snapshot: plain JSON. */
export type ScheduleChunk = z.output<typeof chunkSchema>;

/** Exports the folded state; importing the chunks in order gives an equal state. */
export function exportSchedule(state: ScheduleState): ScheduleChunk[] {
  const chunks: ScheduleChunk[] = [exportHead(state)];
  for (const schedule of state.shards.values()) {
    chunks.push(exportShard(schedule));
    for (const job of schedule.jobs.values()) {
      chunks.push(exportJob(schedule.name, job));
      chunks.push(...exportTasks(schedule.name, job));
    }
  }
  return chunks;
}

function exportHead(state: ScheduleState): ScheduleChunk {
  return {
    kind: 'head',
    shards: [...state.shards.keys()],
    position: state.position,
    openings: [...state.openings],
    homes: [...state.homes],
    cancelled: [...state.cancelled.keys()],
    loans: [...state.loans],
    reports: [...state.reports.values()].map(report => ({
      ...report,
      lacking: { ...report.lacking },
    })),
  };
}

function exportShard(schedule: ShardSchedule): ScheduleChunk {
  const workers = [...schedule.workers.values()].map(load => ({
    id: load.id,
    failures: load.failures.map(failure => ({ ...failure })),
    quarantinedUntilWall: load.quarantinedUntilWall,
    quarantines: load.quarantines,
    probe: load.probe,
  }));
  const borrowed = [...schedule.teams].map(
    ([team, use]): [string, typeof use.borrowed] => [team, use.borrowed],
  );
  return {
    kind: 'shard',
    shard: schedule.name,
    arrivalCount: schedule.arrivalCount,
    arrivals: [...schedule.arrivals.keys()],
    finished: [...schedule.finished],
    workers,
    borrowed,
    runFactors: [...schedule.runFactors],
  };
}

function exportJob(shard: string, job: Job): ScheduleChunk {
  return {
    kind: 'job',
    shard,
    spec: job.spec,
    submittedAtWall: job.submittedAtWall,
    servedAtWall: job.servedAtWall,
    arrival: job.arrival,
    cancelled: job.cancelled,
    heldFor: job.heldFor,
    unschedulableFor: job.unschedulableFor,
    round: job.round,
    fresh: job.fresh.map(range => ({ ...range })),
    tally: { ...job.tally },
    failedOn: [...job.failedOn],
    runSeconds: job.runSeconds,
  };
}

function exportTask(task: Task): z.output<typeof taskSchema> {
  return {
    index: task.index,
    state: { ...task.state },
    attempts: task.attempts,
    failures: task.failures,
    losses: task.losses,
    moves: task.moves,
    evictedAtWall: [...task.evictedAtWall],
    checkpoint: task.checkpoint,
    progress: task.progress,
    waitingSinceWall: task.waitingSinceWall,
  };
}

/** Queued tasks go last and in the order of their queue. */
function exportTasks(shard: string, job: Job): ScheduleChunk[] {
  const others = [...job.tasks.values()].filter(
    task => !job.queued.has(task.index),
  );
  const queued = [...job.queued].flatMap(index => job.tasks.get(index) ?? []);
  const tasks = [...others, ...queued].map(exportTask);
  const chunks: ScheduleChunk[] = [];
  for (let at = 0; at < tasks.length; at += ITEMS_PER_CHUNK) {
    const part = tasks.slice(at, at + ITEMS_PER_CHUNK);
    chunks.push({ kind: 'tasks', shard, job: job.spec.name, tasks: part });
  }
  return chunks;
}

/** Imports a whole snapshot; fails with `invalid` when a chunk is malformed or out of order. */
export function importSchedule(
  chunks: readonly unknown[],
): Result<ScheduleState, AppError> {
  const parsed = z.array(chunkSchema).safeParse(chunks);
  const [head, ...rest] = parsed.data ?? [];
  if (head?.kind !== 'head') {
    return invalidSnapshot('has no head');
  }
  const state = importHead(head);
  for (const chunk of rest) {
    if (chunk.kind === 'head' || !importChunk(state, chunk)) {
      return invalidSnapshot('has a chunk out of order');
    }
  }
  return Result.ok(state);
}

function invalidSnapshot(fault: string): Result<ScheduleState, AppError> {
  return Result.err(appError('invalid', `The schedule's snapshot ${fault}.`));
}

function importHead(head: z.output<typeof headChunkSchema>): ScheduleState {
  const state = createScheduleState(head.shards);
  state.position = head.position;
  copyInto(state.openings, head.openings);
  copyInto(state.homes, head.homes);
  copyInto(
    state.cancelled,
    head.cancelled.map((job): [string, true] => [job, true]),
  );
  copyInto(state.loans, head.loans);
  for (const report of head.reports) {
    state.reports.set(report.shard, report);
  }
  return state;
}

function copyInto<V>(
  map: Map<string, V>,
  entries: Iterable<readonly [string, V]>,
): void {
  for (const [key, value] of entries) {
    map.set(key, value);
  }
}

function importChunk(
  state: ScheduleState,
  chunk: Exclude<ScheduleChunk, { kind: 'head' }>,
): boolean {
  const schedule = state.shards.get(chunk.shard);
  if (schedule === undefined) {
    return false;
  }
  switch (chunk.kind) {
    case 'shard':
      importShard(schedule, chunk);
      return true;
    case 'job':
      importJob(schedule, chunk);
      return true;
    case 'tasks':
      return importTasks(schedule, chunk);
  }
}

function importShard(
  schedule: ShardSchedule,
  chunk: z.output<typeof shardChunkSchema>,
): void {
  schedule.arrivalCount = chunk.arrivalCount;
  for (const arrival of chunk.arrivals) {
    schedule.arrivals.set(arrival, true);
  }
  copyInto(schedule.finished, chunk.finished);
  copyInto(schedule.runFactors, chunk.runFactors);
  for (const { id, ...rest } of chunk.workers) {
    Object.assign(workerLoad(schedule, id), {
      ...rest,
      quarantinedUntilWall: rest.quarantinedUntilWall,
    });
  }
  for (const [team, borrowed] of chunk.borrowed) {
    teamUse(schedule, team).borrowed = borrowed;
  }
}

function importJob(
  schedule: ShardSchedule,
  chunk: z.output<typeof jobChunkSchema>,
): void {
  const job = newJob(chunk.spec, chunk.submittedAtWall, chunk.arrival);
  job.servedAtWall = chunk.servedAtWall;
  job.cancelled = chunk.cancelled;
  job.heldFor = chunk.heldFor;
  job.unschedulableFor = chunk.unschedulableFor;
  job.round = chunk.round;
  job.fresh = chunk.fresh;
  Object.assign(job.tally, chunk.tally);
  for (const worker of chunk.failedOn) {
    job.failedOn.add(worker);
  }
  job.runSeconds = chunk.runSeconds;
  schedule.jobs.set(job.spec.name, job);
  schedule.touched.add(job);
}

function importTasks(
  schedule: ShardSchedule,
  chunk: z.output<typeof tasksChunkSchema>,
): boolean {
  const job = schedule.jobs.get(chunk.job);
  if (job === undefined) {
    return false;
  }
  for (const entry of chunk.tasks) {
    const id = taskId(chunk.job, entry.index);
    const task: Task = { ...entry, id, checkpoint: entry.checkpoint };
    job.tasks.set(task.index, task);
    indexTask(job, task.index);
    const placement = placementOf(task);
    if (placement !== undefined) {
      occupy(schedule, job, task, placement);
      if (task.state.kind === 'evicting') {
        markEvicting(schedule, task);
      }
    }
  }
  return true;
}
