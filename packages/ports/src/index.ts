/** Ports to the platform's services and their HTTP adapters. */
export * from './adapters/index.js';
export * from './host-list.js';
export * from './log-service.js';
export * from './worker-agent.js';
