/** Membership of entry hosts and the view of the host list. */
export * from './membership.js';
export * from './transports.js';
export { memberToWire } from './codec.js';
