/** Small stand-ins for the platform and the backend servers. */
export * from './backend/backend-server.js';
export * from './events/events.js';
export * from './hosts/host-list-server.js';
export type { FaultControl } from './http/faults.js';
export type { Listener, ListenOptions } from './http/json-server.js';
export * from './log/log-server.js';
export * from './membership/index.js';
export * from './memory/heap.js';
export * from './memory/memory-log.js';
export type { AttemptRun } from './memory/memory-task.js';
export * from './memory/memory-workers.js';
export * from './memory/pausable.js';
export * from './memory/virtual-time.js';
export type { TaskBehaviour } from './worker/simulated-task.js';
export * from './worker/worker-server.js';
