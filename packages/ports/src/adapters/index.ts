/** HTTP adapters for the platform's services. */
export type { AdapterOptions } from './http-client.js';
export * from './http-host-list.js';
export * from './http-log-service.js';
export * from './http-worker-agent.js';
