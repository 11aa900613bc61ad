/** Membership: time to notice failures, false suspicions under pauses, messages and bytes a host. */
import { benchLoopback } from '../membership/loopback.js';
import { benchNotice } from '../membership/notice.js';
import { benchPauses } from '../membership/pauses.js';
import { benchTraffic } from '../membership/traffic.js';

type Part = 'notice' | 'pauses' | 'traffic' | 'loopback';
const INTERVAL_MS = 1_000;
const SHORT_INTERVAL_MS = 500;

function wants(args: readonly string[], part: Part): boolean {
  return args.length === 0 || args.includes(part);
}

/** Runs the parts named in `args`, or all: notice, pauses, traffic, loopback. */
export async function run(args: readonly string[]): Promise<void> {
  if (wants(args, 'notice')) {
    benchNotice(9, INTERVAL_MS);
    benchNotice(9, SHORT_INTERVAL_MS);
    benchNotice(30, INTERVAL_MS);
    benchNotice(100, INTERVAL_MS);
  }
  if (wants(args, 'pauses')) {
    benchPauses();
  }
  if (wants(args, 'traffic')) {
    for (const hosts of [9, 30, 100]) {
      benchTraffic(hosts, 1, INTERVAL_MS);
    }
    benchTraffic(100, 5, INTERVAL_MS);
  }
  if (wants(args, 'loopback')) {
    await benchLoopback(9, INTERVAL_MS);
    await benchLoopback(9, SHORT_INTERVAL_MS);
  }
}
