/** What membership takes: bytes of a heartbeat by members told, state by members known. */
import { create, toBinary } from '@bufbuild/protobuf';
import {
  createMembership,
  DEFAULT_MEMBERSHIP_SETTINGS,
  seededRandom,
  type Membership,
} from '@paddlewind/domain';
import { HeartbeatRequestSchema, MemberState } from '@paddlewind/protocol';

import { cpuMicroseconds, retainedBytes } from '../heap.js';
import { measure } from './measure.js';

/** Nine entry hosts in each of five regions. */
const DESIGNED_MEMBERS = 45;
const SIZES = [9, 30, 45, 100];
const TICKS = 2_000;

function addressOf(index: number) {
  return {
    id: `entry-${index}`,
    address: `10.1.0.${index}:7400`,
    region: `region-${index % 5}`,
    availabilityZone: `zone-${index % 14}`,
  };
}

function membershipOf(members: number): Membership {
  const membership = createMembership({
    self: addressOf(0),
    incarnation: '1-1',
    settings: DEFAULT_MEMBERSHIP_SETTINGS,
    random: seededRandom(1),
    now: 0,
  });
  const listed = Array.from({ length: members }, (_, i) => addressOf(i));
  membership.setListed(listed, 0);
  return membership;
}

function microsecondsPerTick(members: number): number {
  const membership = membershipOf(members);
  const spent = cpuMicroseconds(() => {
    for (let i = 0; i < TICKS; i++) {
      membership.tick(i * DEFAULT_MEMBERSHIP_SETTINGS.intervalMs);
    }
  });
  return spent / TICKS;
}

function heartbeatBytes(members: number): number {
  const told = Array.from({ length: members }, (_, i) => ({
    ...addressOf(i),
    incarnation: '1733155200000-12345',
    sequence: 1_000 + i,
    state: MemberState.READY,
    configOffset: 123_456n,
  }));
  const [sender] = told;
  const message = create(HeartbeatRequestSchema, {
    ...(sender === undefined ? {} : { sender }),
    members: told,
  });
  return toBinary(HeartbeatRequestSchema, message).length;
}

/** Measures the role. */
export function measureMember(): void {
  const common = {
    role: 'member',
    per: 'members',
    sizes: SIZES,
    designed: DESIGNED_MEMBERS,
  };
  measure({
    ...common,
    quantity: 'state',
    unit: 'bytes',
    at: members => retainedBytes(() => membershipOf(members)),
  });
  measure({
    ...common,
    quantity: 'processor time of decisions a heartbeat interval',
    unit: 'microseconds',
    at: microsecondsPerTick,
  });
  measure({
    ...common,
    quantity: 'bytes of a heartbeat that tells of all',
    unit: 'bytes',
    designed: DEFAULT_MEMBERSHIP_SETTINGS.newsLimit,
    at: heartbeatBytes,
  });
}
