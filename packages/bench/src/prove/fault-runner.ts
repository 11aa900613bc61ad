/** Carries out the faults of a run and ends each in time. */
import { setTimeout as sleep } from 'node:timers/promises';

import {
  killEntry,
  pauseEntry,
  restartEntry,
  stopEntry,
} from '../cluster/entry-faults.js';
import type { EntryHost } from '../cluster/entry-hosts.js';
import type { Platform, PlatformWorker } from '../cluster/platform.js';
import type { Recorder } from '../cluster/recorder.js';
import type { FaultKind, PlannedFault } from './fault-plan.js';

/** What faults act on. */
export interface FaultScene {
  readonly platform: Platform;
  readonly entries: readonly EntryHost[];
  readonly recorder: Recorder;
}

/** Largest number of answers that one fault loses. */
const MAX_COUNT = 5;
const SLOW_MS = 300;
const NOISE_SLOWDOWN = 8;
const BROKEN_SHARE = 0.3;
const OUTAGES = ['refuse', 'hang', 'reset'] as const;
const BROKEN_KINDS = ['reset', 'half', 'error'] as const;

/** Runs every fault at its time; resolves when the last has ended. */
export async function runFaults(
  scene: FaultScene,
  faults: readonly PlannedFault[],
): Promise<void> {
  const startedAt = performance.now();
  const busy = new Set<string>();
  const running = faults.map(async fault => {
    await sleep(Math.max(0, fault.at - (performance.now() - startedAt)));
    const key = keyOf(scene, fault);
    if (busy.has(key)) {
      return;
    }
    busy.add(key);
    await runFault(scene, fault);
    busy.delete(key);
  });
  await Promise.all(running);
}

type EntryFault = 'kill_entry' | 'stop_entry' | 'pause_entry';
type LogFault =
  'log_outage' | 'log_slow' | 'log_lose_answers' | 'log_drop' | 'log_duplicate';
type WorkerFault = Exclude<FaultKind, EntryFault | LogFault>;

function isEntryFault(kind: FaultKind): kind is EntryFault {
  return kind.endsWith('_entry');
}

function isLogFault(kind: FaultKind): kind is LogFault {
  return kind.startsWith('log_');
}

/** Faults of one key exclude one another. */
function keyOf(scene: FaultScene, fault: PlannedFault): string {
  const { kind } = fault;
  if (isEntryFault(kind)) {
    return entryOf(scene, fault).id;
  }
  return isLogFault(kind) ? kind : `${workerOf(scene, fault).host.id} ${kind}`;
}

function entryOf({ entries }: FaultScene, fault: PlannedFault): EntryHost {
  return pick(entries, fault.target);
}

function workerOf(
  { platform }: FaultScene,
  fault: PlannedFault,
): PlatformWorker {
  return pick(platform.workers, fault.target);
}

function pick<T>(values: readonly T[], index: number): T {
  const value = values[index % values.length];
  if (value === undefined) {
    throw new Error('nothing to pick from');
  }
  return value;
}

function runFault(scene: FaultScene, fault: PlannedFault): Promise<void> {
  const { kind } = fault;
  if (isEntryFault(kind)) {
    return runEntryFault(scene, fault, kind);
  }
  return isLogFault(kind)
    ? runLogFault(scene, fault, kind)
    : runWorkerFault(scene, fault, kind);
}

async function runEntryFault(
  scene: FaultScene,
  fault: PlannedFault,
  kind: EntryFault,
): Promise<void> {
  const { recorder } = scene;
  const entry = entryOf(scene, fault);
  switch (kind) {
    case 'kill_entry':
      await killEntry(entry, recorder);
      await sleep(fault.durationMs);
      restartEntry(entry, recorder);
      return;
    case 'stop_entry':
      await stopEntry(entry, recorder);
      await sleep(fault.durationMs);
      restartEntry(entry, recorder);
      return;
    case 'pause_entry': {
      const thaw = pauseEntry(entry, recorder);
      await sleep(fault.durationMs);
      thaw();
    }
  }
}

async function runLogFault(
  { platform, recorder }: FaultScene,
  fault: PlannedFault,
  kind: LogFault,
): Promise<void> {
  const { control } = platform.log;
  const count = countOf(fault);
  const what = { fault: 'log_outage', target: 'log' } as const;
  switch (kind) {
    case 'log_outage':
      recorder.record({ type: 'fault_began', ...what });
      control.set({ outage: drawn(OUTAGES, fault) });
      await sleep(fault.durationMs);
      control.set({ outage: 'none' });
      recorder.record({ type: 'fault_ended', ...what });
      return;
    case 'log_slow':
      control.set({ slowMs: SLOW_MS });
      await sleep(fault.durationMs);
      control.set({ slowMs: 0 });
      return;
    case 'log_lose_answers':
      control.set({ loseAnswers: count });
      return;
    case 'log_drop':
      control.set({ dropAppends: count });
      return;
    case 'log_duplicate':
      control.set({ duplicate: count });
  }
}

function countOf(fault: PlannedFault): number {
  return 1 + Math.floor(fault.detail * MAX_COUNT);
}

function drawn<T>(values: readonly T[], fault: PlannedFault): T {
  return pick(values, Math.floor(fault.detail * values.length));
}

async function runWorkerFault(
  scene: FaultScene,
  fault: PlannedFault,
  kind: WorkerFault,
): Promise<void> {
  const { agent, host } = workerOf(scene, fault);
  switch (kind) {
    case 'cut_worker':
      return cutWorker(scene, fault);
    case 'restart_worker':
      agent.restart();
      return;
    case 'worker_lose_answers':
      agent.control.set({ loseAnswers: countOf(fault) });
      return;
    case 'worker_duplicate':
      agent.control.set({ duplicate: countOf(fault) });
      return;
    case 'fail_everything':
      agent.control.set({ failEverything: true });
      await sleep(fault.durationMs);
      agent.control.set({ failEverything: false });
      return;
    case 'break_answers':
    case 'noise':
      return runBackendFault(scene, fault, kind);
    case 'leave':
      scene.platform.hosts.leave(host.id);
      await sleep(fault.durationMs);
      scene.platform.hosts.put(host);
  }
}

async function cutWorker(
  scene: FaultScene,
  fault: PlannedFault,
): Promise<void> {
  const { agent, host } = workerOf(scene, fault);
  const what = { fault: 'worker_unreachable', target: host.id } as const;
  scene.recorder.record({ type: 'fault_began', ...what });
  agent.control.set({ outage: fault.detail < 0.5 ? 'reset' : 'refuse' });
  await sleep(fault.durationMs);
  agent.control.set({ outage: 'none' });
  scene.recorder.record({ type: 'fault_ended', ...what });
}

async function runBackendFault(
  scene: FaultScene,
  fault: PlannedFault,
  kind: 'break_answers' | 'noise',
): Promise<void> {
  const { backend } = workerOf(scene, fault);
  const brokenKind = drawn(BROKEN_KINDS, fault);
  backend.control.set(
    kind === 'noise'
      ? { slowdown: NOISE_SLOWDOWN }
      : { brokenShare: BROKEN_SHARE, brokenKind },
  );
  await sleep(fault.durationMs);
  backend.control.set(kind === 'noise' ? { slowdown: 1 } : { brokenShare: 0 });
}
