/** Which entry hosts are live, decided from heartbeats, probes and the host list. */
export * from './membership.js';
export * from './pause-clock.js';
export * from './settings.js';
export * from './targets.js';
export * from './types.js';
export * from './version.js';
