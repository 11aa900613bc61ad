/** Publishing changes to a fleet of processes, timed until every process has them in force. */
import { setTimeout as sleep } from 'node:timers/promises';

import {
  seededRandom,
  type ConfigObject,
  type Random,
} from '@paddlewind/domain';

import { report } from '../report.js';
import { createMillisHistogram } from './bed.js';
import { startFleet, type EntryProcess, type Fleet } from './fleet.js';
import { sampleTeam } from './sample-config.js';

/** How many changes are published by how many operators, and the outage in their midst. */
export interface FleetLoad {
  readonly hosts: number;
  readonly changes: number;
  readonly operators: number;
  /** Milliseconds that the log takes longer for each answer. */
  readonly slowMs: number;
  readonly outageSeconds: number;
  readonly seed: number;
}

interface Tally {
  readonly published: ReturnType<typeof createMillisHistogram>;
  readonly inForce: ReturnType<typeof createMillisHistogram>;
  next: number;
  accepted: number;
  conflicts: number;
  failed: number;
  /** Changes whose coming into force could not be seen, as a host refused to tell. */
  unseen: number;
  reverts: number;
}

const POLL_MS = 2;
const IN_FORCE_LIMIT_MS = 30_000;

/** Runs the changes and reports one line. */
export async function runFleetChanges(load: FleetLoad): Promise<void> {
  const fleet = await startFleet(load.hosts);
  try {
    fleet.log.control.set({ slowMs: load.slowMs });
    await publishAll(fleet, load);
  } finally {
    await fleet.close();
  }
}

async function publishAll(fleet: Fleet, load: FleetLoad): Promise<void> {
  const tally: Tally = {
    published: createMillisHistogram(),
    inForce: createMillisHistogram(),
    next: 0,
    accepted: 0,
    conflicts: 0,
    failed: 0,
    unseen: 0,
    reverts: 0,
  };
  const bytesBefore = fleet.log.memory.totals().readBytes;
  const begunAt = performance.now();
  const outage = outageAmidst(fleet, load, tally);
  await Promise.all(
    Array.from({ length: load.operators }, (_, operator) =>
      operate(fleet, load, operator, tally),
    ),
  );
  await outage;
  const seconds = (performance.now() - begunAt) / 1_000;
  const bytes = fleet.log.memory.totals().readBytes - bytesBefore;
  report({
    bench: 'config',
    processes: load.hosts,
    logSlowMs: load.slowMs,
    outageSeconds: load.outageSeconds,
    changes: load.changes,
    accepted: tally.accepted,
    conflicts: tally.conflicts,
    failed: tally.failed,
    unseen: tally.unseen,
    reverts: tally.reverts,
    ...tally.published.quantiles('published'),
    ...tally.inForce.quantiles('inForceEverywhere'),
    changesPerSecond: Math.round((tally.accepted / seconds) * 10) / 10,
    logBytesPerChangeAndHost: Math.round(
      bytes / load.hosts / Math.max(1, tally.accepted),
    ),
  });
}

/** One operator, who changes a team of its own, or a shared one in a tenth of the cases. */
async function operate(
  fleet: Fleet,
  load: FleetLoad,
  operator: number,
  tally: Tally,
): Promise<void> {
  const random = seededRandom(load.seed + operator);
  const seen = new Map<string, bigint>();
  while (tally.next < load.changes) {
    const index = tally.next++;
    const team = random() < 0.1 ? 1_000 : operator;
    await changeOnce(fleet, { index, team, random, seen }, tally);
  }
}

interface Change {
  readonly index: number;
  readonly team: number;
  readonly random: Random;
  /** Newest offset at which this operator saw each host. */
  readonly seen: Map<string, bigint>;
}

async function changeOnce(
  fleet: Fleet,
  change: Change,
  tally: Tally,
): Promise<void> {
  const at = performance.now();
  const team = sampleTeam(change.team, 1 + change.index);
  try {
    const offset = await publish(fleet, change, team);
    tally.accepted++;
    tally.published.add(performance.now() - at);
    const seen = await isSeenEverywhere(
      fleet,
      change,
      team.name,
      offset,
      tally,
    );
    if (seen) {
      tally.inForce.add(performance.now() - at);
    }
    tally.unseen += seen ? 0 : 1;
  } catch (err) {
    const message = err instanceof Error ? err.message : '';
    const isConflict = message.includes('read it again');
    tally.conflicts += isConflict ? 1 : 0;
    tally.failed += isConflict ? 0 : 1;
    await sleep(100 * change.random());
  }
}

async function publish(
  fleet: Fleet,
  { index, random }: Change,
  team: ConfigObject,
): Promise<bigint> {
  const { kind, name } = team;
  const host = fleet.hosts[Math.floor(random() * fleet.hosts.length)];
  const held = await host?.operators.get({ kind, name });
  const baseVersion = held?.objects[0]?.version ?? 0n;
  const declarationJson = JSON.stringify(team);
  const applied = await host?.operators.apply({
    id: `change-${index}`,
    changes: [{ kind, name, baseVersion, declarationJson }],
  });
  return applied?.offset ?? 0n;
}

async function isSeenEverywhere(
  fleet: Fleet,
  change: Change,
  name: string,
  offset: bigint,
  tally: Tally,
): Promise<boolean> {
  const waits = fleet.hosts.map(host =>
    untilInForce(host, name, offset, change, tally),
  );
  const ends = await Promise.allSettled(waits);
  return ends.every(end => end.status === 'fulfilled');
}

async function untilInForce(
  host: EntryProcess,
  name: string,
  offset: bigint,
  { seen }: Change,
  tally: Tally,
): Promise<void> {
  const deadline = performance.now() + IN_FORCE_LIMIT_MS;
  while (performance.now() < deadline) {
    const held = await host.operators.get({ kind: 'team', name });
    tally.reverts += held.offset < (seen.get(host.id) ?? 0n) ? 1 : 0;
    seen.set(host.id, held.offset);
    if (held.offset >= offset) {
      return;
    }
    await sleep(POLL_MS);
  }
  throw new Error(`${host.id} did not get offset ${offset} in time`);
}

async function outageAmidst(
  fleet: Fleet,
  load: FleetLoad,
  tally: Tally,
): Promise<void> {
  if (load.outageSeconds === 0) {
    return;
  }
  while (tally.next < load.changes / 2) {
    await sleep(20);
  }
  fleet.log.control.set({ outage: 'refuse' });
  await sleep(load.outageSeconds * 1_000);
  fleet.log.control.set({ outage: 'none' });
}
