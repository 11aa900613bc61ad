/** Fake networks of entry hosts. */
export { createFakeNetwork } from './fake-network.js';
export type { FakeNetwork, FakeNetworkOptions } from './fake-network.js';
export type { DownKind, Traffic } from './fake-hosts.js';
