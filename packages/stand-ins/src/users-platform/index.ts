export * from './caller.js';
export * from './deployment.js';
export * from './store-server.js';
export * from './worker-server.js';
export * from './worker-pool.js';
