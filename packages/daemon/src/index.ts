/** The daemon's parts as a library, for tests and benchmarks. */
export * from './config/index.js';
export * from './entry-host.js';
export * from './log/index.js';
export * from './membership/index.js';
export * from './operator/app.js';
export * from './operator/deps.js';
export * from './parts.js';
export * from './router/index.js';
export * from './settings/read.js';
export * from './settings/schema.js';
export * from './tls/index.js';
export * from './shards/index.js';
export * from './scheduler/index.js';
