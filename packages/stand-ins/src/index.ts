/** Stand-ins for the platform. */
export * from './memory/memory-log.js';
export * from './memory/virtual-time.js';
