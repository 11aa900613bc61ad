/** Messages and bytes that a host sends, by the size of the region, on a fake network. */
import { create, toBinary } from '@bufbuild/protobuf';
import { memberToWire } from '@paddlewind/daemon';
import type { HeartbeatMessage, Millis } from '@paddlewind/domain';
import { HeartbeatRequestSchema } from '@paddlewind/protocol';
import { createFakeNetwork } from '@paddlewind/stand-ins';

import { report } from '../report.js';

const SETTLE_MS = 20_000;
const RUN_MS = 30_000;

function sizeOf(message: HeartbeatMessage): number {
  const req = create(HeartbeatRequestSchema, {
    sender: memberToWire(message.sender),
    members: message.members.map(memberToWire),
  });
  return toBinary(HeartbeatRequestSchema, req).length;
}

/** Prints the messages, members told and encoded bytes a second that a host sends, loads and headers aside. */
export function benchTraffic(
  hosts: number,
  regions: number,
  intervalMs: Millis,
): void {
  let messages = 0;
  let bytes = 0;
  let counting = false;
  const net = createFakeNetwork({
    hosts,
    regions,
    settings: { intervalMs },
    onMessage(_from, message) {
      if (counting) {
        messages += 1;
        bytes += sizeOf(message);
      }
    },
  });
  net.run(SETTLE_MS);
  counting = true;
  net.run(RUN_MS);
  const perHostSecond = hosts * (RUN_MS / 1_000);
  report({
    bench: 'membership.traffic',
    hosts,
    regions,
    intervalMs,
    messagesPerSecond: Math.round((messages / perHostSecond) * 10) / 10,
    encodedBytesPerSecond: Math.round(bytes / perHostSecond),
  });
}
