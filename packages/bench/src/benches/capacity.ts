/** Capacity: each role's state, processor time and bytes at several sizes, with a fit. */
import { measureConfigFollower } from '../capacity/config-follower.js';
import { measureHostList } from '../capacity/host-list.js';
import { measureLeaseFollower } from '../capacity/lease-follower.js';
import { measureMember } from '../capacity/member.js';
import { measureProcess } from '../capacity/process.js';
import { measureRouter } from '../capacity/router.js';
import { measureShardOwner } from '../capacity/shard-owner.js';
import { measureWorkerSync } from '../capacity/worker-sync.js';

/** Measures every role, and the process as a whole. */
export async function run(): Promise<void> {
  measureRouter();
  measureShardOwner();
  measureWorkerSync();
  measureLeaseFollower();
  measureConfigFollower();
  measureMember();
  await measureHostList();
  await measureProcess();
}
