/** Pure decisions of paddlewind. */
export * from './core/random.js';
export * from './core/resources.js';
export * from './core/time.js';
export * from './errors/app-error.js';
export * from './errors/kinds.js';
export * from './streams/record.js';
export * from './config/state.js';
export * from './declarations/schemas.js';
export * from './declarations/selector.js';
