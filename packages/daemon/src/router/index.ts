/** The router: requests from callers to backend servers. */
export { startRouter } from './start-router.js';
export { startIdempotencyKeys } from './idempotency-keys.js';
export type {
  FollowKeys,
  IdempotencyKeys,
  KeyGateOptions,
} from './idempotency-keys.js';
export type { RouterDeps, RouterHandle } from './start-router.js';
export { DEFAULT_ROUTER_LIMITS } from './settings.js';
export type { RouterLimits, RouterSettings } from './settings.js';
