/** A plain model of the decision stream of a whole availability zone, for the fuzz test. */
import { parseTaskId, taskId } from '../ids.js';
import type { Decision, DecisionBody } from '../records.js';

/** A task as the records say, whatever shard holds it. */
export interface OracleTask {
  readonly id: string;
  readonly job: string;
  holder: string;
  state: 'queued' | 'running' | 'done';
  worker: string;
  attempts: number;
  checkpoint: string | undefined;
  moves: number;
  completed: boolean;
}

/** The model: every task, the epoch of every shard, and the jobs cancelled or held. */
export interface Oracle {
  readonly tasks: Map<string, OracleTask>;
  readonly jobs: Map<string, DecisionBody<'job_submitted'>['job']>;
  readonly cancelled: Set<string>;
  readonly held: Set<string>;
  readonly epochs: Map<string, number>;
}

/** Returns the model of an empty stream. */
export function newOracle(): Oracle {
  return {
    tasks: new Map(),
    jobs: new Map(),
    cancelled: new Set(),
    held: new Set(),
    epochs: new Map(),
  };
}

/** Applies a record and tells whether it should have an effect; undefined where the model is blind. */
export function foresee(oracle: Oracle, record: Decision): boolean | undefined {
  switch (record.kind) {
    case 'owner_opened':
      return openShard(oracle, record.body);
    case 'job_submitted':
      return submit(oracle, record.body);
    case 'job_cancelled':
      return cancel(oracle, record.body.job);
    case 'task_started':
      return start(oracle, record.body);
    case 'task_ended':
      return end(oracle, record.body);
    case 'task_moved':
      return move(oracle, record.body);
    case 'job_homed':
    case 'job_released':
    case 'job_held':
    case 'job_unschedulable':
    case 'task_evicting':
    case 'task_held':
    case 'worker_quarantined':
    case 'worker_released':
    case 'quota_lent':
    case 'shard_reported':
      return undefined;
  }
}

/** Notes an applied hold or release of a job; when they apply is not foreseen. */
export function noteHold(oracle: Oracle, record: Decision): void {
  if (record.kind === 'job_held') {
    oracle.held.add(`${record.body.shard} ${record.body.job}`);
  }
  if (record.kind === 'job_released') {
    const { job } = record.body;
    oracle.held.forEach(key => {
      if (key.endsWith(` ${job}`)) {
        oracle.held.delete(key);
      }
    });
  }
}

function openShard(
  oracle: Oracle,
  body: DecisionBody<'owner_opened'>,
): boolean {
  if (body.epoch <= (oracle.epochs.get(body.shard) ?? 0)) {
    return false;
  }
  oracle.epochs.set(body.shard, body.epoch);
  return true;
}

function submit(oracle: Oracle, body: DecisionBody<'job_submitted'>): boolean {
  const { job, shard } = body;
  if (oracle.jobs.has(job.name)) {
    return false;
  }
  oracle.jobs.set(job.name, job);
  const cancelled = oracle.cancelled.has(job.name);
  for (let index = 0; index < job.tasks; index++) {
    const id = taskId(job.name, index);
    oracle.tasks.set(id, {
      id,
      job: job.name,
      holder: shard,
      state: cancelled ? 'done' : 'queued',
      worker: '',
      attempts: 0,
      checkpoint: undefined,
      moves: 0,
      completed: false,
    });
  }
  return true;
}

function cancel(oracle: Oracle, job: string): boolean {
  if (oracle.cancelled.has(job)) {
    return false;
  }
  oracle.cancelled.add(job);
  for (const task of oracle.tasks.values()) {
    if (task.job === job && task.state === 'queued') {
      task.state = 'done';
    }
  }
  return true;
}

function isCurrent(oracle: Oracle, shard: string, epoch: number): boolean {
  return (oracle.epochs.get(shard) ?? 0) === epoch;
}

function start(oracle: Oracle, body: DecisionBody<'task_started'>): boolean {
  const task = oracle.tasks.get(body.task);
  const allowed =
    isCurrent(oracle, body.shard, body.epoch) &&
    task?.holder === body.shard &&
    task.state === 'queued' &&
    body.attempt === task.attempts + 1 &&
    body.checkpoint === task.checkpoint &&
    !oracle.held.has(`${body.shard} ${task.job}`);
  if (!allowed) {
    return false;
  }
  task.state = 'running';
  task.worker = body.worker;
  task.attempts = body.attempt;
  return true;
}

function end(oracle: Oracle, body: DecisionBody<'task_ended'>): boolean {
  const task = oracle.tasks.get(body.task);
  const allowed =
    isCurrent(oracle, body.shard, body.epoch) &&
    task?.holder === body.shard &&
    task.state === 'running' &&
    body.attempt === task.attempts;
  if (!allowed) {
    return false;
  }
  task.completed = body.result === 'completed';
  task.checkpoint = body.checkpoint ?? task.checkpoint;
  const over = task.completed || oracle.cancelled.has(task.job);
  task.state = over ? 'done' : 'queued';
  return true;
}

function move(oracle: Oracle, body: DecisionBody<'task_moved'>): boolean {
  const { job, index } = parseTaskId(body.task);
  const moved: OracleTask[] = [];
  for (let i = index; i < index + body.count; i++) {
    const task = oracle.tasks.get(taskId(job, i));
    if (task?.holder !== body.fromShard || task.state !== 'queued') {
      return false;
    }
    moved.push(task);
  }
  const current =
    isCurrent(oracle, body.fromShard, body.epoch) &&
    moved.every(task => task.moves === body.move);
  if (!current) {
    return false;
  }
  for (const task of moved) {
    task.holder = body.toShard;
    task.moves += 1;
  }
  return true;
}
