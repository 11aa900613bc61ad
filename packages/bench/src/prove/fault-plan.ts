/** The faults of a run, drawn from its seed. */
import type { Random } from '@paddlewind/domain';

/** Kinds of faults with the longest time each lasts, in milliseconds. */
const FAULT_KINDS = {
  /** An entry host is killed and started again. */
  kill_entry: 3_000,
  /** An entry host is asked to stop, and started again. */
  stop_entry: 3_000,
  /** An entry host's process is frozen, for longer than its leases at times. */
  pause_entry: 8_000,
  /** The log answers nothing. */
  log_outage: 6_000,
  log_slow: 3_000,
  /** Appends take effect but their answers are lost. */
  log_lose_answers: 0,
  /** Appends have no effect and their answers are lost. */
  log_drop: 0,
  /** Appends are kept twice. */
  log_duplicate: 0,
  /** A worker's agent cannot be reached. */
  cut_worker: 8_000,
  /** A worker's agent restarts and forgets all. */
  restart_worker: 0,
  worker_lose_answers: 0,
  /** Commands are carried out again a little later. */
  worker_duplicate: 0,
  fail_everything: 2_000,
  /** A backend server's answers break. */
  break_answers: 3_000,
  /** Backend servers of a worker are slowed down, as by a noisy task. */
  noise: 4_000,
  /** A worker begins to leave, and comes back. */
  leave: 9_000,
} as const;

/** A kind of fault. */
export type FaultKind = keyof typeof FAULT_KINDS;

/** A fault of a run; `at` counts from its start. */
export interface PlannedFault {
  readonly kind: FaultKind;
  readonly at: number;
  readonly durationMs: number;
  /** Index of the entry host or worker, to be taken modulo their number. */
  readonly target: number;
  /** A further draw in [0, 1) for the fault's details. */
  readonly detail: number;
}

/** Mean time between two faults, in milliseconds. */
const MEAN_GAP_MS = 900;
/** Share of the longest time that a fault lasts at least. */
const MIN_SHARE = 0.2;
const MAX_TARGET = 1_000;

/** Draws faults for a run of `seconds`, the first ones of each kind as soon as they fit. */
export function drawFaults(random: Random, seconds: number): PlannedFault[] {
  const end = seconds * 1_000;
  const faults: PlannedFault[] = [];
  let kinds: FaultKind[] = [];
  let at = gap(random);
  while (at < end) {
    if (kinds.length === 0) {
      kinds = shuffled(random);
    }
    const kind = kinds.pop() ?? 'noise';
    const share = MIN_SHARE + (1 - MIN_SHARE) * random();
    const durationMs = Math.round(FAULT_KINDS[kind] * share);
    const target = Math.floor(random() * MAX_TARGET);
    faults.push({ kind, at, durationMs, target, detail: random() });
    at += gap(random);
  }
  return faults;
}

function gap(random: Random): number {
  return Math.round(MEAN_GAP_MS * (0.5 + random()));
}

/** Every kind once, in a random order. */
function shuffled(random: Random): FaultKind[] {
  const kinds = Object.keys(FAULT_KINDS) as FaultKind[];
  const drawn = kinds.map(kind => ({ kind, order: random() }));
  drawn.sort((a, b) => a.order - b.order);
  return drawn.map(({ kind }) => kind);
}
