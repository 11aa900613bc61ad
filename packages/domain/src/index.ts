/** Decision logic of paddlewind, free of I/O. */
export * from './config/index.js';
export * from './core/json.js';
export * from './core/problem.js';
export * from './core/random.js';
export * from './core/resources.js';
export * from './core/time.js';
export * from './declarations/index.js';
export * from './errors/app-error.js';
export * from './errors/kinds.js';
export * from './interference/index.js';
export * from './membership/index.js';
export * from './objectives/index.js';
export * from './routing/index.js';
export * from './scheduling/index.js';
export * from './shards/index.js';
export * from './streams/index.js';
