export * from './advice-port.js';
export * from './feeds.js';
export * from './job-log.js';
export * from './peer-port.js';
export * from './proxy-port.js';
export * from './worker-port.js';
