/** Conversion between messages on the wire and the domain's types; what comes in is bounded. */
import type {
  HeartbeatMessage,
  MemberInfo,
  ToldState,
} from '@paddlewind/domain';
import { type Member, MemberState } from '@paddlewind/protocol';

/** A member's fields on the wire. */
export type MemberFields = Omit<Member, '$typeName' | '$unknown'>;

const MAX_TEXT_LENGTH = 128;
const MAX_MEMBERS = 64;

const STATE_TO_WIRE: Readonly<Record<ToldState, MemberState>> = {
  ready: MemberState.READY,
  not_ready: MemberState.NOT_READY,
  leaving: MemberState.LEAVING,
  suspected: MemberState.SUSPECTED,
};

function stateFromWire(state: MemberState): ToldState | undefined {
  switch (state) {
    case MemberState.READY:
      return 'ready';
    case MemberState.NOT_READY:
      return 'not_ready';
    case MemberState.LEAVING:
      return 'leaving';
    case MemberState.SUSPECTED:
      return 'suspected';
    case MemberState.UNSPECIFIED:
      return undefined;
  }
}

/** Converts a member for the wire. */
export function memberToWire(info: MemberInfo): MemberFields {
  return {
    id: info.id,
    address: info.address,
    region: info.region,
    availabilityZone: info.availabilityZone,
    incarnation: info.incarnation,
    sequence: info.sequence,
    state: STATE_TO_WIRE[info.state],
    configOffset: BigInt(info.configOffset),
  };
}

function isBounded(text: string): boolean {
  return text.length > 0 && text.length <= MAX_TEXT_LENGTH;
}

/** Converts a member from the wire; undefined when it is not one that a host of ours would tell. */
export function memberFromWire(
  member: Member | undefined,
): MemberInfo | undefined {
  const state = member && stateFromWire(member.state);
  if (member === undefined || state === undefined) {
    return undefined;
  }
  const { id, address, region, availabilityZone, incarnation } = member;
  const texts = [id, address, region, availabilityZone, incarnation];
  const configOffset = Number(member.configOffset);
  if (!texts.every(isBounded) || !Number.isSafeInteger(configOffset)) {
    return undefined;
  }
  const place = { id, address, region, availabilityZone };
  return {
    ...place,
    incarnation,
    sequence: member.sequence,
    state,
    configOffset,
  };
}

/** Converts a heartbeat or its reply from the wire; undefined without a usable sender. */
export function messageFromWire(
  sender: Member | undefined,
  members: readonly Member[],
): HeartbeatMessage | undefined {
  const from = memberFromWire(sender);
  if (from === undefined || from.state === 'suspected') {
    return undefined;
  }
  const told = members.slice(0, MAX_MEMBERS).map(memberFromWire);
  return { sender: from, members: told.filter(info => info !== undefined) };
}
