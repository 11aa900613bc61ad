/** HTTP adapters of the interfaces to the platform. */
export type { AdapterOptions } from './http-client.js';
export * from './http-host-list.js';
export * from './http-log-service.js';
export * from './http-worker-agent.js';
