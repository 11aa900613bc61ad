/** A network of memberships in memory with an own clock, for tests and benchmarks of failures. */
import {
  DEFAULT_MEMBERSHIP_SETTINGS,
  type HeartbeatMessage,
  type Instant,
  type MemberAddress,
  type Membership,
  type MembershipSettings,
  type Millis,
  seededRandom,
} from '@paddlewind/domain';

import { createAgenda } from './agenda.js';
import {
  beginHost,
  type DownKind,
  type FakeWorld,
  hostOf,
  startMembership,
  type Traffic,
} from './fake-hosts.js';

/** What a network is built from. */
export interface FakeNetworkOptions {
  readonly hosts: number;
  readonly regions?: number;
  readonly settings?: Partial<MembershipSettings>;
  readonly seed?: number;
  /** Called for each heartbeat and reply sent; told of the sender and what it sends. */
  readonly onMessage?: (from: string, message: HeartbeatMessage) => void;
}

/** A network; hosts are named `h0`, `h1`, …. */
export interface FakeNetwork {
  now(): Instant;
  run(forMs: Millis): void;
  /** Runs until `condition` holds; undefined when it does not within `limitMs`, else the time taken. */
  runUntil(condition: () => boolean, limitMs: Millis): Millis | undefined;
  membership(id: string): Membership;
  stop(id: string, down: DownKind): void;
  /** Starts a stopped host anew. */
  restart(id: string): void;
  /** Stops the event loop of a host for a time. */
  pause(id: string, forMs: Millis): void;
  /** Loses packets from `from` to `to`; a one-way cut unless called for both ways. */
  cut(from: string, to: string): void;
  heal(): void;
  traffic(id: string): Traffic;
}

function addressOf(index: number, regions: number): MemberAddress {
  const region = index % regions;
  return {
    id: `h${index}`,
    address: `127.0.0.1:${10_000 + index}`,
    region: `r${region}`,
    availabilityZone: `r${region}-a`,
  };
}

function createWorld(options: FakeNetworkOptions): FakeWorld {
  return {
    now: 0,
    settings: { ...DEFAULT_MEMBERSHIP_SETTINGS, ...options.settings },
    random: seededRandom(options.seed ?? 1),
    agenda: createAgenda(),
    cuts: new Set(),
    hosts: new Map(),
    onMessage: options.onMessage ?? (() => undefined),
  };
}

function addHost(world: FakeWorld, address: MemberAddress): void {
  world.hosts.set(address.id, {
    address,
    membership: startMembership(world, address, 0),
    down: undefined,
    pausedUntil: 0,
    starts: 0,
    traffic: { messages: 0, told: 0 },
  });
}

function step(world: FakeWorld): void {
  world.now += 1;
  world.agenda.run(world.now);
}

function restart(world: FakeWorld, id: string): void {
  const host = hostOf(world, id);
  host.down = undefined;
  host.starts += 1;
  host.membership = startMembership(world, host.address, host.starts);
  beginHost(world, host);
}

/** Builds a network whose hosts all list one another and are ready. */
export function createFakeNetwork(options: FakeNetworkOptions): FakeNetwork {
  const world = createWorld(options);
  for (let index = 0; index < options.hosts; index++) {
    addHost(world, addressOf(index, options.regions ?? 1));
  }
  for (const host of world.hosts.values()) {
    beginHost(world, host);
  }
  return {
    now: () => world.now,
    run(forMs) {
      for (const end = world.now + forMs; world.now < end;) {
        step(world);
      }
    },
    runUntil(condition, limitMs) {
      const from = world.now;
      while (!condition() && world.now - from < limitMs) {
        step(world);
      }
      return condition() ? world.now - from : undefined;
    },
    membership: id => hostOf(world, id).membership,
    stop(id, down) {
      hostOf(world, id).down = down;
    },
    restart(id) {
      restart(world, id);
    },
    pause(id, forMs) {
      hostOf(world, id).pausedUntil = world.now + forMs;
    },
    cut: (from, to) => void world.cuts.add(`${from}>${to}`),
    heal() {
      world.cuts.clear();
    },
    traffic: id => hostOf(world, id).traffic,
  };
}
