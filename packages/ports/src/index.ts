/** Interfaces to the platform and their HTTP adapters. */
export * from './adapters/index.js';
export * from './host-list.js';
export * from './log-service.js';
export * from './worker-agent.js';
