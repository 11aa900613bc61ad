/** Carries out the faults of a run. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { Random } from '@paddlewind/domain';
import {
  ENTRY_EXPIRY_MS,
  type StoreServer,
  type WorkerPool,
} from '@paddlewind/stand-ins/users-platform';

import type { PlannedFault } from './fault-plan.js';
import type { HostPool } from './host-pool.js';

/** What faults act on. */
export interface FaultTargets {
  readonly hosts: HostPool;
  readonly store: StoreServer;
  readonly workers: WorkerPool;
  readonly random: Random;
}

/** Time between two crashes of many workers in a series, in milliseconds. */
const SERIES_PAUSE_MS = 3_000;
/** Time that a worker in a series is cut off: about its lease, or longer. */
const LONG_CUT_MS = [4_500, 7_000] as const;
/** Time between two cuts in a series, in milliseconds. */
const CUT_PAUSE_MS = 1_000;
/** Time until a worker that crashed is replaced. */
const BACK_AFTER_MS = [1_500, 3_000] as const;
/** Share of outages in which the store refuses calls; in others it does not answer. */
const REFUSING_SHARE = 0.5;
/** Share of the faults of a worker in which its calls have an effect that is not answered. */
const LOSING_SHARE = 0.3;
/** Share of the faults of workers in which they do not reach the store either, so that their entries expire. */
const CUT_FROM_STORE_SHARE = 0.4;
/** Share of outages in which no entry expires. */
const NO_EXPIRY_SHARE = 0.3;
/** Hosts that have to run beside one that is killed or frozen. */
const MIN_OTHER_HOSTS = 1;

/** Carries out the faults at their times; resolves when the last one is over. */
export async function runFaults(
  targets: FaultTargets,
  faults: readonly PlannedFault[],
): Promise<void> {
  const startedAt = performance.now();
  const running: Promise<void>[] = [];
  for (const fault of faults) {
    await sleep(Math.max(0, startedAt + fault.at - performance.now()));
    running.push(runFault(targets, fault));
  }
  await Promise.all(running);
}

async function runFault(
  targets: FaultTargets,
  fault: PlannedFault,
): Promise<void> {
  const { hosts, workers } = targets;
  switch (fault.kind) {
    case 'kill_leader':
    case 'freeze_leader': {
      const leader = await hosts.leader();
      if (leader === undefined || hosts.running.length <= MIN_OTHER_HOSTS) {
        return;
      }
      return fault.kind === 'kill_leader'
        ? hosts.restart(leader, fault.durationMs)
        : hosts.freeze(leader, fault.durationMs);
    }
    case 'store_outage':
      return breakStore(targets, fault);
    case 'forget_entry': {
      const [id] = drawWorkers(targets, 0);
      workers.forget(id ?? '');
      return workers.add();
    }
    case 'cut_workers':
      return cutWorkers(targets, fault);
    case 'cut_series':
      return cutInSeries(targets, fault);
    case 'crash_worker':
      crashWorkers(targets, 0);
      return;
    case 'crash_series':
      return crashInSeries(targets, fault);
  }
}

async function breakStore(
  { store, workers, random }: FaultTargets,
  { durationMs, share, detail }: PlannedFault,
): Promise<void> {
  if (store.mode !== 'up') {
    return;
  }
  store.mode = detail < REFUSING_SHARE ? 'refusing' : 'silent';
  await sleep(durationMs);
  const expires = random() >= NO_EXPIRY_SHARE;
  for (const id of expires ? workers.ids : []) {
    if (random() < share) {
      workers.expire(id);
    }
  }
  store.mode = 'up';
  workers.relist();
}

async function cutWorkers(
  targets: FaultTargets,
  { durationMs, share, detail }: PlannedFault,
): Promise<void> {
  const { workers, random } = targets;
  const servers = drawWorkers(targets, share)
    .map(id => workers.server(id))
    .filter(server => server !== undefined)
    .filter(({ mode }) => mode === 'up');
  for (const server of servers) {
    server.mode = detail < LOSING_SHARE ? 'losing' : 'silent';
  }
  const isCutFromStore = random() < CUT_FROM_STORE_SHARE;
  if (isCutFromStore && durationMs > ENTRY_EXPIRY_MS) {
    await sleep(ENTRY_EXPIRY_MS);
    servers.forEach(({ worker }) => {
      workers.expire(worker.traits.id);
    });
    await sleep(durationMs - ENTRY_EXPIRY_MS);
  } else {
    await sleep(durationMs);
  }
  const up = new Set(workers.ids);
  for (const server of servers.filter(cut => up.has(cut.worker.traits.id))) {
    server.mode = 'up';
  }
  workers.relist();
}

async function cutInSeries(
  targets: FaultTargets,
  fault: PlannedFault,
): Promise<void> {
  const until = performance.now() + fault.durationMs;
  while (performance.now() < until) {
    const durationMs = drawBetween(targets.random, LONG_CUT_MS);
    await cutWorkers(targets, { ...fault, durationMs });
    await sleep(CUT_PAUSE_MS);
  }
}

async function crashInSeries(
  targets: FaultTargets,
  { durationMs, share }: PlannedFault,
): Promise<void> {
  const until = performance.now() + durationMs;
  while (performance.now() < until) {
    crashWorkers(targets, share);
    await sleep(SERIES_PAUSE_MS);
  }
}

function crashWorkers(targets: FaultTargets, share: number): void {
  const { random, workers } = targets;
  for (const id of drawWorkers(targets, share)) {
    workers.crash(id, {
      kind: random() < 0.5 ? 'refusing' : 'silent',
      backAfterMs: drawBetween(random, BACK_AFTER_MS),
      sameAddress: random() < 0.5,
    });
  }
}

/** Draws a share of the workers that are up, but at least one. */
function drawWorkers(
  { workers, random }: FaultTargets,
  share: number,
): string[] {
  const drawn = workers.ids.map(id => ({ id, order: random() }));
  drawn.sort((a, b) => a.order - b.order);
  const count = Math.max(1, Math.round(share * drawn.length));
  return drawn.slice(0, count).map(({ id }) => id);
}

function drawBetween(
  random: Random,
  [from, to]: readonly [number, number],
): number {
  return from + (to - from) * random();
}
