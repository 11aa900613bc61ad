/** Runs the planner and the fold of decisions against simulated workers and records the history. */
import {
  applyRecord,
  createScheduleState,
  decision,
  jobSchema,
  NO_RESOURCES,
  plan,
  seededRandom,
  type Decision,
  type DecisionOf,
  type Resources,
  type ScheduleState,
  type ScheduleView,
  type Verdict,
} from '@paddlewind/domain';

import type { History, HistoryEvent } from '../history.js';

/** The decisions that a run may replace by a faulty copy. */
export interface ScheduleDecisions {
  readonly plan: typeof plan;
  readonly apply: typeof applyRecord;
}

/** The decisions as they are. */
export const SOUND: ScheduleDecisions = { plan, apply: applyRecord };

const SHARD = 'shard-a';
const JOB = 'job';
const TASKS = 6;
const SIZE: Resources = { cpu: 3, memoryMiB: 1_024, accelerators: 0 };
const CAPACITY: Resources = { cpu: 8, memoryMiB: 8_192, accelerators: 0 };
const WORKERS = ['w1', 'w2'];
const ROUNDS = 12;
const ROUND_MS = 60_000;
/** Round before which a second owner takes the shard over. */
const TAKEOVER_ROUND = 1;

interface Run {
  readonly decisions: ScheduleDecisions;
  readonly state: ScheduleState;
  readonly view: ScheduleView;
  readonly events: HistoryEvent[];
  readonly running: DecisionOf<'task_started'>[];
  offset: number;
  at: number;
}

/** Runs one job: a task is evicted and resumes, records come twice, and a superseded owner speaks up. */
export function runSchedule(decisions: ScheduleDecisions): History {
  const run = newRun(decisions);
  const submitted = submission();
  append(run, decision('owner_opened', { ...ownedBy(1), owner: 'e1' }));
  append(run, submitted);
  append(run, submitted);
  for (let round = 0; round < ROUNDS; round++) {
    playRound(run, round);
  }
  run.events.push({ type: 'settled', at: run.at });
  return run.events;
}

function newRun(decisions: ScheduleDecisions): Run {
  const worker = {
    rack: 'r1',
    labels: {},
    capacity: CAPACITY,
    reserved: NO_RESOURCES,
    availability: 'live' as const,
    batchPenalty: 0,
    avoidBatch: false,
  };
  const view: ScheduleView = {
    shard: SHARD,
    epoch: 1,
    workers: WORKERS.map(id => ({ ...worker, id })),
    policies: [],
    teams: [],
    siblings: [],
    logAvailable: true,
    pending: [],
  };
  const events: HistoryEvent[] = WORKERS.map(id => ({
    type: 'worker_up',
    at: 0,
    worker: id,
    boot: id,
    capacity: CAPACITY,
  }));
  const what = { job: JOB, tasks: TASKS, onLostWorker: 'hold' } as const;
  events.push({ type: 'job_submitted', at: 0, ...what });
  const state = createScheduleState([SHARD]);
  return { decisions, state, view, events, running: [], offset: 0, at: 1 };
}

function submission(): DecisionOf<'job_submitted'> {
  const job = jobSchema.parse({
    kind: 'job',
    name: JOB,
    team: 'team',
    tasks: TASKS,
    size: SIZE,
    command: ['run'],
  });
  return decision('job_submitted', { job, shard: SHARD, submittedAtWall: 0 });
}

function ownedBy(epoch: number) {
  return { shard: SHARD, epoch };
}

/** Records decisions, starts what counts, and ends what ran in the round before. */
function playRound(run: Run, round: number): void {
  const wall = round * ROUND_MS;
  const ending = run.running.splice(0);
  ending.forEach((started, i) => {
    endAttempt(run, started, round === 1 && i === 0, wall);
  });
  const view = { ...run.view, epoch: epochOf(round) };
  if (round === TAKEOVER_ROUND) {
    append(run, decision('owner_opened', { ...ownedBy(2), owner: 'e2' }));
  }
  const made = run.decisions.plan(run.state, view, wall, seededRandom(round));
  made.forEach(each => {
    append(run, each);
  });
  made.forEach(each => {
    append(run, repeated(each));
  });
}

function epochOf(round: number): number {
  return round < TAKEOVER_ROUND ? 1 : 2;
}

/** The same start again, as a paused owner of the first epoch would write it. */
function repeated(record: Decision): Decision {
  return record.kind === 'task_started'
    ? decision('task_started', { ...record.body, epoch: 1, worker: 'w2' })
    : record;
}

/** Appends a record and acts on it when it counts. */
function append(run: Run, record: Decision): Verdict {
  run.offset += 1;
  run.at += 1;
  const position = { offset: run.offset, index: 0 };
  const verdict = run.decisions.apply(run.state, record, position);
  if (verdict.kind === 'applied' && record.kind === 'task_started') {
    begin(run, record);
  }
  return verdict;
}

function begin(run: Run, record: DecisionOf<'task_started'>): void {
  const { task, attempt, worker, shard, epoch } = record.body;
  run.running.push(record);
  run.events.push({
    type: 'task_began',
    at: run.at,
    worker,
    boot: worker,
    job: JOB,
    task,
    attempt,
    size: SIZE,
    resumedAt: 0,
    shard,
    epoch,
  });
}

function endAttempt(
  run: Run,
  started: DecisionOf<'task_started'>,
  evicted: boolean,
  atWall: number,
): void {
  const { task, attempt, worker, epoch } = started.body;
  run.at += 1;
  const end = evicted ? 'stopped' : 'completed';
  const progress = evicted ? 0.5 : 1;
  const where = { worker, boot: worker, task, attempt };
  run.events.push({ type: 'task_ended', at: run.at, ...where, end, progress });
  const ref = { ...ownedBy(epoch), task, attempt, atWall };
  if (evicted) {
    append(run, decision('task_evicting', { ...ref, reason: 'preempted' }));
  }
  const ended = decision('task_ended', { ...ref, result: end });
  append(run, ended);
  append(run, ended);
}
