/** Hosts of a fake network and the calls between them; time moves only by events. */
import {
  createMembership,
  type HeartbeatMessage,
  type Instant,
  type MemberAddress,
  type MemberInfo,
  type Membership,
  type MembershipAction,
  type MembershipSettings,
  type Millis,
  type Random,
  seededRandom,
} from '@paddlewind/domain';

import { type Agenda } from './agenda.js';

/** How a host that is down treats connects: a dead process refuses, a dead machine is silent. */
export type DownKind = 'refuses' | 'silent';

/** Messages that a host sent; `told` counts members beside the sender. */
export interface Traffic {
  messages: number;
  told: number;
}

/** A host with its membership. */
export interface FakeHost {
  readonly address: MemberAddress;
  membership: Membership;
  down: DownKind | undefined;
  pausedUntil: Instant;
  starts: number;
  readonly traffic: Traffic;
}

/** The state of a fake network. */
export interface FakeWorld {
  now: Instant;
  readonly settings: MembershipSettings;
  readonly random: Random;
  readonly agenda: Agenda;
  /** Directed pairs `from>to` whose packets are lost. */
  readonly cuts: Set<string>;
  readonly hosts: Map<string, FakeHost>;
  readonly onMessage: (from: string, message: HeartbeatMessage) => void;
}

const LATENCY_MS = 1;
const TICKS_PER_INTERVAL = 5;

/** Share of the timeout of a probe that its own call gets. */
const HELPER_SHARE = 0.75;
const WALL_START = 1_700_000_000_000;

/** After a pause, timers run before what arrived meanwhile, as on Node's event loop. */
const TIMER_RANK = 0;
const ARRIVAL_RANK = 1;

/** Returns the host named `id`. */
export function hostOf(world: FakeWorld, id: string): FakeHost {
  const host = world.hosts.get(id);
  if (host === undefined) {
    throw new Error(`no host ${id}`);
  }
  return host;
}

/** Runs `event` on a host, after its pause; never when it was stopped meanwhile. */
function later(
  world: FakeWorld,
  host: FakeHost,
  at: Instant,
  rank: number,
  event: () => void,
) {
  const { starts } = host;
  world.agenda.add(at, rank, () => {
    if (host.down !== undefined || host.starts !== starts) {
      return;
    }
    if (host.pausedUntil > world.now) {
      later(world, host, host.pausedUntil, rank, event);
    } else {
      event();
    }
  });
}

/** Calls `to`; exactly one of `onReply` and `onFailure` runs on `from`. */
function call(
  world: FakeWorld,
  from: FakeHost,
  to: FakeHost,
  timeoutMs: Millis,
  serve: (answer: (reply: () => void) => void) => void,
  onFailure: () => void,
): void {
  let ended = false;
  const end = (event: () => void): void => {
    if (!ended) {
      ended = true;
      event();
    }
  };
  const lost = world.cuts.has(`${from.address.id}>${to.address.id}`);
  if (to.down === 'refuses' && !lost) {
    later(world, from, world.now + LATENCY_MS, ARRIVAL_RANK, () => {
      end(onFailure);
    });
    return;
  }
  later(world, from, world.now + timeoutMs, TIMER_RANK, () => {
    end(onFailure);
  });
  if (lost) {
    return;
  }
  later(world, to, world.now + LATENCY_MS, ARRIVAL_RANK, () => {
    serve(reply => {
      if (!world.cuts.has(`${to.address.id}>${from.address.id}`)) {
        later(world, from, world.now + LATENCY_MS, ARRIVAL_RANK, () => {
          end(reply);
        });
      }
    });
  });
}

function count(
  world: FakeWorld,
  host: FakeHost,
  message: HeartbeatMessage,
): HeartbeatMessage {
  host.traffic.messages += 1;
  host.traffic.told += message.members.length;
  world.onMessage(host.address.id, message);
  return message;
}

function heartbeat(
  world: FakeWorld,
  from: FakeHost,
  to: FakeHost,
  timeoutMs: Millis,
  onReply: () => void,
  onFailure: () => void,
): void {
  const target = to.address;
  const source = from.address;
  const message = count(
    world,
    from,
    from.membership.message(target.id, target.region),
  );
  call(
    world,
    from,
    to,
    timeoutMs,
    answer => {
      to.membership.onHeartbeat(message, world.now);
      const reply = count(
        world,
        to,
        to.membership.message(source.id, source.region),
      );
      answer(() => {
        from.membership.onReply(target.id, reply, world.now);
        onReply();
      });
    },
    onFailure,
  );
}

function probe(
  world: FakeWorld,
  from: FakeHost,
  via: FakeHost,
  to: FakeHost,
): void {
  const sentAt = world.now;
  const id = to.address.id;
  const done = (member: MemberInfo | undefined): void => {
    from.membership.onProbe(id, member, sentAt, world.now);
  };
  from.traffic.messages += 1;
  call(
    world,
    from,
    via,
    world.settings.callTimeoutMs,
    answer => {
      const answerWith = (member: MemberInfo | undefined): void => {
        via.traffic.messages += 1;
        answer(() => {
          done(member);
        });
      };
      heartbeat(
        world,
        via,
        to,
        Math.round(world.settings.callTimeoutMs * HELPER_SHARE),
        () => {
          const known = via.membership.members();
          answerWith(known.find(member => member.id === id));
        },
        () => {
          answerWith(undefined);
        },
      );
    },
    () => {
      done(undefined);
    },
  );
}

function act(world: FakeWorld, from: FakeHost, action: MembershipAction): void {
  const to = hostOf(world, action.target.id);
  if (action.kind === 'probe') {
    probe(world, from, hostOf(world, action.via.id), to);
    return;
  }
  const sentAt = world.now;
  heartbeat(
    world,
    from,
    to,
    world.settings.callTimeoutMs,
    () => undefined,
    () => {
      const id = to.address.id;
      const probes = from.membership.onFailure(id, sentAt, world.now);
      probes.forEach(next => {
        act(world, from, next);
      });
    },
  );
}

function tickLater(world: FakeWorld, host: FakeHost): void {
  const every = Math.round(world.settings.intervalMs / TICKS_PER_INTERVAL);
  later(world, host, world.now + every, TIMER_RANK, () => {
    host.membership.tick(world.now).forEach(action => {
      act(world, host, action);
    });
    tickLater(world, host);
  });
}

/** Starts the membership of a host. */
export function startMembership(
  world: FakeWorld,
  address: MemberAddress,
  starts: number,
): Membership {
  const membership = createMembership({
    self: address,
    incarnation: `${WALL_START + world.now}-${starts}`,
    settings: world.settings,
    random: seededRandom(Math.floor(world.random() * 2 ** 32)),
    now: world.now,
  });
  membership.setSelf({ state: 'ready', configOffset: 0 }, world.now);
  return membership;
}

/** Lets a host list all others and tick. */
export function beginHost(world: FakeWorld, host: FakeHost): void {
  const addresses = [...world.hosts.values()].map(other => other.address);
  host.membership.setListed(addresses, world.now);
  tickLater(world, host);
}
