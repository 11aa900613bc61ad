/** Mutual TLS between processes, with certificates reloaded without a restart. */
export * from './credentials.js';
export * from './peer-listener.js';
export * from './secure-transports.js';
