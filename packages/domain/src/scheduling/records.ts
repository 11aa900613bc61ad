/** Records of the decision stream: their schemas, ids and decoding; see docs/design/scheduling.md. */
import { z } from 'zod';

import { resourcesSchema } from '../core/resources.js';
import { jobSchema, nameSchema } from '../declarations/schemas.js';
import type { StreamRecord } from '../streams/record.js';

const TASK_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}\/(0|[1-9][0-9]{0,5})$/;

const taskSchema = z.string().regex(TASK_PATTERN, 'expected job/index');
const hostSchema = z.string().min(1).max(253);
const textSchema = z.string().max(1_000);
const countSchema = z.int().nonnegative();
/** Wall-clock milliseconds; no hard promise rests on it. */
const wallSchema = z.number().nonnegative();

const ownerFields = { shard: nameSchema, epoch: countSchema };
const jobFields = { ...ownerFields, job: nameSchema, round: countSchema };
const attemptFields = {
  ...ownerFields,
  task: taskSchema,
  attempt: z.int().positive(),
  atWall: wallSchema,
};

/** Why a running attempt is stopped. */
export const evictionReasonSchema = z.enum([
  'preempted',
  'drained',
  'interference',
  'cancelled',
  'overcommitted',
]);

/** How an attempt ended. */
export const endResultSchema = z.enum([
  'completed',
  'failed',
  'stopped',
  'lost',
]);

/** Schemas of the bodies by kind; unknown members of a body are ignored. */
export const decisionSchemas = {
  /** A new owner's first record: voids every later decision of a lower epoch. */
  owner_opened: z.object({ ...ownerFields, owner: hostSchema }),
  job_submitted: z.object({
    job: jobSchema,
    shard: nameSchema,
    submittedAtWall: wallSchema,
  }),
  /** Names the shard, of another availability zone, to which a job goes; the first for a job counts. */
  job_homed: z.object({ job: nameSchema, shard: nameSchema }),
  job_cancelled: z.object({ job: nameSchema }),
  /** An operator lifts every hold of a job; `request` makes repeats distinct. */
  job_released: z.object({ job: nameSchema, request: z.string().min(1) }),
  job_held: z.object({ ...jobFields, reason: textSchema }),
  job_unschedulable: z.object({ ...jobFields, reason: textSchema }),
  task_started: z.object({
    ...attemptFields,
    worker: hostSchema,
    checkpoint: textSchema.optional(),
    /** What is set aside for the attempt, when learnt to be more than declared. */
    size: resourcesSchema.optional(),
  }),
  task_evicting: z.object({
    ...attemptFields,
    reason: evictionReasonSchema,
  }),
  task_ended: z.object({
    ...attemptFields,
    result: endResultSchema,
    checkpoint: textSchema.optional(),
    /** Share of the work done as of the checkpoint, 0 to 1. */
    progress: z.number().min(0).max(1).optional(),
    message: textSchema.optional(),
  }),
  task_held: z.object({
    ...ownerFields,
    task: taskSchema,
    round: countSchema,
    reason: textSchema,
  }),
  /** Hands `count` consecutive tasks to another shard; more than one only when never started. */
  task_moved: z.object({
    task: taskSchema,
    count: z.int().positive().max(100_000).default(1),
    fromShard: nameSchema,
    toShard: nameSchema,
    epoch: countSchema,
    /** Number of earlier moves of the task. */
    move: countSchema,
    job: jobSchema,
    submittedAtWall: wallSchema,
    attempts: countSchema.default(0),
    failures: countSchema.default(0),
    losses: countSchema.default(0),
    checkpoint: textSchema.optional(),
    progress: z.number().min(0).max(1).default(0),
  }),
  worker_quarantined: z.object({
    ...ownerFields,
    worker: hostSchema,
    /** Number of earlier quarantines of the worker. */
    round: countSchema,
    reason: textSchema,
    untilWall: wallSchema,
  }),
  worker_released: z.object({
    ...ownerFields,
    worker: hostSchema,
    round: countSchema,
  }),
  quota_lent: z.object({
    team: nameSchema,
    fromShard: nameSchema,
    toShard: nameSchema,
    epoch: countSchema,
    /** Rises with each loan of the lending shard. */
    loan: z.int().positive(),
    amount: resourcesSchema,
  }),
  /** Tells the other shards what this one has free and waiting, and which teams lack quota. */
  shard_reported: z.object({
    ...ownerFields,
    atWall: wallSchema,
    free: resourcesSchema,
    waiting: resourcesSchema,
    lacking: z.record(nameSchema, resourcesSchema).default({}),
  }),
} as const;

/** Kind of a decision record. */
export type DecisionKind = keyof typeof decisionSchemas;
/** Body of a decision of kind `K`. */
export type DecisionBody<K extends DecisionKind> = z.output<
  (typeof decisionSchemas)[K]
>;
/** A decision of kind `K` with its deterministic id. */
export interface DecisionOf<K extends DecisionKind> {
  readonly id: string;
  readonly kind: K;
  readonly body: DecisionBody<K>;
}
/** Any decision, ready to be appended to the decision stream of its availability zone. */
export type Decision = { [K in DecisionKind]: DecisionOf<K> }[DecisionKind];
export type EvictionReason = z.output<typeof evictionReasonSchema>;
export type EndResult = z.output<typeof endResultSchema>;

type Input<K extends DecisionKind> = z.input<(typeof decisionSchemas)[K]>;

type IdParts = {
  [K in DecisionKind]: (body: DecisionBody<K>) => readonly (string | number)[];
};

/** What identifies a decision: repeats of the same one share it, and no other does. */
const idParts: IdParts = {
  owner_opened: body => ['open', body.shard, body.epoch],
  job_submitted: body => ['submit', body.job.name],
  job_homed: body => ['home', body.job],
  job_cancelled: body => ['cancel', body.job],
  job_released: body => ['release', body.job, body.request],
  job_held: body => ['hold-job', body.job, body.round, body.epoch],
  job_unschedulable: body => ['refuse', body.job, body.round, body.epoch],
  task_started: body => ['start', body.task, body.attempt, body.epoch],
  task_evicting: body => ['evict', body.task, body.attempt, body.epoch],
  task_ended: body => ['end', body.task, body.attempt, body.epoch],
  task_held: body => ['hold', body.task, body.round, body.epoch],
  task_moved: body => ['move', body.task, body.move, body.epoch],
  worker_quarantined: body => [
    'quarantine',
    body.worker,
    body.round,
    body.epoch,
  ],
  worker_released: body => [
    'release-worker',
    body.worker,
    body.round,
    body.epoch,
  ],
  quota_lent: body => ['lend', body.fromShard, body.loan, body.epoch],
  shard_reported: body => ['report', body.shard, body.epoch, body.atWall],
};

/** Builds a decision with its deterministic id, so that a retry is the same record. */
export function decision<K extends DecisionKind>(
  kind: K,
  input: Input<K>,
): DecisionOf<K> {
  const body = decisionSchemas[kind].parse(input) as DecisionBody<K>;
  return { id: idParts[kind](body).join(':'), kind, body };
}

/** Tells whether `kind` is one of the decision stream. */
export function isDecisionKind(kind: string): kind is DecisionKind {
  return Object.hasOwn(decisionSchemas, kind);
}

/** Decodes a record of the decision stream; undefined when malformed. */
export function decodeDecision(record: StreamRecord): Decision | undefined {
  if (!isDecisionKind(record.kind)) {
    return undefined;
  }
  const parsed = decisionSchemas[record.kind].safeParse(record.body);
  if (!parsed.success) {
    return undefined;
  }
  return { id: record.id, kind: record.kind, body: parsed.data } as Decision;
}
