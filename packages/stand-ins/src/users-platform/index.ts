export * from './store-server.js';
export * from './worker-server.js';
