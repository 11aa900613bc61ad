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
  /** Name of this entry host, unique among them. */
  id: nameSchema,
  region: nameSchema,
  availabilityZone: nameSchema,
});

const routerSchema = z.strictObject({
  /** Listener for callers; port 0 takes a free one. */
  listen: addressSchema,
  maxHeaderBytes: z.int().min(1_024).max(1_048_576).default(16_384),
  /** Time within which a caller must send its headers. */
  headersTimeoutMs: z.int().positive().default(10_000),
  /** Time without a byte after which a slow body is given up. */
  bodyIdleTimeoutMs: z.int().positive().default(30_000),
});

const tlsSchema = z.strictObject({
  /** Files in PEM; re-read when they change. */
  certFile: z.string().min(1),
  keyFile: z.string().min(1),
  caFile: z.string().min(1),
});

const peersSchema = z.strictObject({
  /** Listener for other entry hosts and operators. */
  listen: addressSchema,
  /** Mutual TLS; plain HTTP when absent. */
  tls: tlsSchema.optional(),
  heartbeatMs: z.int().positive().default(500),
});

const platformSchema = z.strictObject({
  /** Base URL of the log service. */
  logUrl: z.url(),
  /** Base URL of the host list. */
  hostListUrl: z.url(),
  hostListPollMs: z.int().positive().default(1_000),
  /** Appends a second that this entry host may use. */
  appendsPerSecond: z.number().positive().default(60),
});

const schedulerSchema = z.strictObject({
  /** Lease of a shard. */
  shardLeaseMs: z.int().min(1_000).default(10_000),
  /** Lease of a task at its worker. */
  taskLeaseMs: z.int().min(1_000).default(15_000),
  /** Time between two rounds of decisions. */
  roundMs: z.int().positive().default(100),
});

const shutdownSchema = z.strictObject({
  /** Time between turning unready and closing, in which the balancer takes notice. */
  balancerMs: z.int().nonnegative().default(2_000),
  /** Time that requests in flight get to finish. */
  drainMs: z.int().nonnegative().default(10_000),
});

/** Schema of the settings file. */
export const settingsSchema = z.strictObject({
  host: hostSchema,
  router: routerSchema,
  peers: peersSchema,
  /** Listener for `/metrics`, `/livez` and `/readyz`. */
  admin: z.strictObject({ listen: addressSchema }),
  platform: platformSchema,
  scheduler: schedulerSchema.prefault({}),
  shutdown: shutdownSchema.prefault({}),
  logLevel: z
    .enum(['fatal', 'error', 'warn', 'info', 'debug', 'trace'])
    .default('info'),
});

/** The daemon's settings. */
export type Settings = z.output<typeof settingsSchema>;

/** Files of the certificate of an entry host. */
export type TlsSettings = z.output<typeof tlsSchema>;
