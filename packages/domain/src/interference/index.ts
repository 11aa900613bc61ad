/** Learns how batch work slows down services, and recommends actions against it. */
export * from './advise.js';
export * from './batch-class.js';
export {
  createPolicyMemory,
  steeredWeights,
  type PolicyMemory,
  type SteeredWeight,
} from './memory.js';
export {
  createInterferenceModel,
  learnedSlowdown,
  observeLatency,
  observePlacement,
  observeUsage,
  setObjective,
  type ClassUse,
  type InterferenceModel,
  type LatencySample,
  type UsageSample,
} from './model.js';
export * from './penalty.js';
export { type InterferenceWeights } from './settings.js';
export { type Slowdown } from './service-model.js';
export * from './view.js';
