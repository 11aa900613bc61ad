/** Schemas of the declarations that operators publish. */
import { z } from 'zod';

import { resourcesSchema } from '../core/resources.js';

const NAME_PATTERN = /^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$/;
const MAX_LABELS = 32;

/** Schema of an object's name: lower-case letters, digits, dots, dashes and underscores. */
export const nameSchema = z
  .string()
  .regex(
    NAME_PATTERN,
    'expected 1 to 63 lower-case letters, digits, ".", "-" or "_", with a letter or digit at each end',
  );

/** Schema of labels: at most 32 key-value pairs of short strings. */
export const labelsSchema = z
  .record(z.string().min(1).max(63), z.string().max(63))
  .refine(
    labels => Object.keys(labels).length <= MAX_LABELS,
    `expected at most ${MAX_LABELS} labels`,
  );

/** Schema of one condition of a selector. */
export const conditionSchema = z.strictObject({
  label: z.string().min(1).max(63),
  operator: z.enum(['in', 'not_in', 'exists', 'absent']),
  values: z.array(z.string().max(63)).max(64).default([]),
});

/** Schema of a selector: all its labels and conditions must match; an empty selector matches everything. */
export const selectorSchema = z.strictObject({
  labels: labelsSchema.default({}),
  conditions: z.array(conditionSchema).max(16).default([]),
});

const objectiveSchema = z.strictObject({
  target: z
    .number()
    .gt(0)
    .lt(1)
    .describe('Share of requests that must be good, such as 0.999.'),
  latencyMs: z
    .number()
    .positive()
    .describe(
      'A request is good when answered without an error within this time.',
    ),
  periodDays: z
    .int()
    .positive()
    .max(90)
    .default(28)
    .describe('Period over which the error budget is counted.'),
});

const routeSchema = z.strictObject({
  host: z
    .string()
    .min(1)
    .max(253)
    .optional()
    .describe(
      "Host header that selects the service; the service's name when absent.",
    ),
  pathPrefix: z.string().startsWith('/').default('/'),
  timeoutMs: z.int().positive().max(3_600_000).default(10_000),
  maxQueue: z.int().nonnegative().max(100_000).default(1_000),
  maxBodyBytes: z
    .int()
    .nonnegative()
    .default(16 * 1024 * 1024),
  retryBudget: z
    .number()
    .min(0)
    .max(1)
    .default(0.1)
    .describe('Retries allowed as a share of first tries.'),
  hedgeBudget: z
    .number()
    .min(0)
    .max(1)
    .default(0)
    .describe('Hedges allowed as a share of first tries; 0 turns hedging off.'),
  idempotencyKeys: z
    .boolean()
    .default(false)
    .describe(
      'Whether requests with an Idempotency-Key are deduplicated through the log.',
    ),
  idempotentMethods: z
    .array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']))
    .default(['GET', 'HEAD', 'OPTIONS'])
    .describe('Methods taken for idempotent; others are sent at most once.'),
});

/** Schema of a service: which workers run its backend servers, and how requests reach them. */
export const serviceSchema = z.strictObject({
  kind: z.literal('service'),
  name: nameSchema,
  labels: labelsSchema.default({}),
  team: nameSchema,
  workers: selectorSchema.describe(
    'Workers that run a backend server of the service.',
  ),
  size: resourcesSchema.describe('What a backend server takes of its worker.'),
  slots: z
    .int()
    .positive()
    .max(10_000)
    .describe('Requests that a backend server runs at a time.'),
  connections: z
    .int()
    .positive()
    .max(100_000)
    .describe(
      'Connections that a backend server accepts over all entry hosts.',
    ),
  route: routeSchema,
  objective: objectiveSchema,
});

/** Schema of a job: tasks of the same size that run to completion. */
export const jobSchema = z.strictObject({
  kind: z.literal('job'),
  name: nameSchema,
  labels: labelsSchema.default({}),
  team: nameSchema,
  workers: selectorSchema
    .prefault({})
    .describe('Workers that may run its tasks.'),
  tasks: z.int().positive().max(100_000),
  size: resourcesSchema,
  command: z.array(z.string()).min(1).max(256),
  expectedSeconds: z
    .number()
    .positive()
    .default(600)
    .describe('Expected run time of one task; often wrong.'),
  maxAttempts: z.int().positive().max(100).default(5),
  onLostWorker: z
    .enum(['resume', 'hold'])
    .default('resume')
    .describe(
      'What to do with a task whose worker is lost: resume from its checkpoint, or hold for an operator.',
    ),
});

/** Schema of a team and its quota for running work. */
export const teamSchema = z.strictObject({
  kind: z.literal('team'),
  name: nameSchema,
  quota: resourcesSchema,
  weight: z
    .number()
    .positive()
    .default(1)
    .describe('Share in fair ordering relative to other teams.'),
});

/** Schema of a policy: the class, priority and eviction terms of the work that its selector matches. */
export const policySchema = z.strictObject({
  kind: z.literal('policy'),
  name: nameSchema,
  order: z
    .int()
    .nonnegative()
    .describe(
      'Policies are tried in ascending order; the first match decides.',
    ),
  work: selectorSchema,
  class: z.enum(['latency_critical', 'batch']),
  priority: z.enum(['urgent', 'normal', 'low']).default('normal'),
  preemptible: z.boolean().default(false),
  evictionsPerHour: z
    .number()
    .nonnegative()
    .default(2)
    .describe('Evictions allowed per task and hour.'),
});

/** Schema of a shard: a group of racks whose workers are scheduled by one owner. */
export const shardSchema = z.strictObject({
  kind: z.literal('shard'),
  name: nameSchema,
  region: nameSchema,
  availabilityZone: nameSchema,
  racks: z.array(nameSchema).min(1).max(64),
});

/** Schema of a deployment's weights, which trade off tail latency, batch throughput and evictions. */
export const weightsSchema = z.strictObject({
  kind: z.literal('weights'),
  name: z.literal('default'),
  tailLatency: z.number().nonnegative(),
  batchThroughput: z.number().nonnegative(),
  evictions: z.number().nonnegative(),
});

/** Schema of a worker's administrative state. */
export const workerSchema = z.strictObject({
  kind: z.literal('worker'),
  name: nameSchema,
  drained: z.boolean().default(false),
});

/** Schema of a configuration object of any kind; jobs are not among them, since they are submitted. */
export const objectSchema = z.discriminatedUnion('kind', [
  serviceSchema,
  teamSchema,
  policySchema,
  shardSchema,
  weightsSchema,
  workerSchema,
]);

export type Selector = z.output<typeof selectorSchema>;
export type ServiceSpec = z.output<typeof serviceSchema>;
export type RouteSpec = z.output<typeof routeSchema>;
export type JobSpec = z.output<typeof jobSchema>;
export type TeamSpec = z.output<typeof teamSchema>;
export type PolicySpec = z.output<typeof policySchema>;
export type ShardSpec = z.output<typeof shardSchema>;
export type WeightsSpec = z.output<typeof weightsSchema>;
export type WorkerSpec = z.output<typeof workerSchema>;
export type ConfigObject = z.output<typeof objectSchema>;
export type ObjectKind = ConfigObject['kind'];
