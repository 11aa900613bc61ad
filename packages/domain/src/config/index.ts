/** The configuration in force and its fold. */
export * from './state.js';
