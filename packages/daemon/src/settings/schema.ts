/** Schema of the daemon's settings. */
import { nameSchema } from '@paddlewind/domain';
import { z } from 'zod';

const ADDRESS_PATTERN = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

const addressSchema = z
  .string()
  .regex(
    ADDRESS_PATTERN,
    'expected an IPv4 address and port, such as 127.0.0.1:7400',
  );

const hostSchema = z.strictObject({
  id: nameSchema.describe('Name of this entry host, unique among them.'),
  region: nameSchema,
  availabilityZone: nameSchema,
});

const routerSchema = z.strictObject({
  listen: addressSchema.describe(
    'Listener for callers; port 0 takes a free one.',
  ),
  maxHeaderBytes: z.int().min(1_024).max(1_048_576).default(16_384),
  headersTimeoutMs: z
    .int()
    .positive()
    .default(10_000)
    .describe('Time within which a caller must send its headers.'),
  bodyIdleTimeoutMs: z
    .int()
    .positive()
    .default(30_000)
    .describe('Time without a byte after which a slow body is given up.'),
});

const tlsSchema = z.strictObject({
  certFile: z
    .string()
    .min(1)
    .describe('Files in PEM; re-read when they change.'),
  keyFile: z.string().min(1),
  caFile: z.string().min(1),
});

const peersSchema = z.strictObject({
  listen: addressSchema.describe(
    'Listener for other entry hosts and operators.',
  ),
  tls: tlsSchema.optional().describe('Mutual TLS; plain HTTP when absent.'),
  heartbeatMs: z.int().positive().default(1_000),
});

const platformSchema = z.strictObject({
  log: addressSchema.describe('The log service.'),
  hostList: addressSchema.describe('The host list.'),
  hostListPollMs: z.int().positive().default(1_000),
  logRetentionMs: z
    .int()
    .min(60_000)
    .default(21_600_000)
    .describe(
      'Time for which the log keeps records; snapshots are written well before.',
    ),
  appendsPerSecond: z
    .number()
    .positive()
    .default(25)
    .describe(
      'Appends a second that this entry host may use: what the log takes for this system, divided by the number of entry hosts.',
    ),
});

const schedulerSchema = z.strictObject({
  shardLeaseMs: z
    .int()
    .min(1_000)
    .default(10_000)
    .describe('Lease of a shard.'),
  taskLeaseMs: z
    .int()
    .min(1_000)
    .default(15_000)
    .describe('Lease of a task at its worker.'),
  roundMs: z
    .int()
    .positive()
    .default(100)
    .describe('Time between two rounds of decisions.'),
});

const shutdownSchema = z.strictObject({
  balancerMs: z
    .int()
    .nonnegative()
    .default(2_000)
    .describe(
      'Time between turning unready and closing, in which the balancer takes notice.',
    ),
  drainMs: z
    .int()
    .nonnegative()
    .default(10_000)
    .describe('Time that requests in flight get to finish.'),
});

/** Schema of the settings file. */
export const settingsSchema = z.strictObject({
  host: hostSchema,
  router: routerSchema,
  peers: peersSchema,
  admin: z
    .strictObject({ listen: addressSchema })
    .describe('Listener for `/metrics`, `/livez` and `/readyz`.'),
  platform: platformSchema,
  entryHosts: z
    .int()
    .positive()
    .default(9)
    .describe('Planned number of entry hosts, this one included.'),
  scheduler: schedulerSchema.prefault({}),
  shutdown: shutdownSchema.prefault({}),
  logLevel: z
    .enum(['fatal', 'error', 'warn', 'info', 'debug', 'trace'])
    .default('info'),
});

/** The daemon's settings. */
export type Settings = z.output<typeof settingsSchema>;

/** Paths of the TLS files of an entry host. */
export type TlsSettings = z.output<typeof tlsSchema>;
