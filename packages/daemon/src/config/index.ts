/** The configuration in force. */
export * from './fetch.js';
export * from './peer-source.js';
export * from './start.js';
