/** The faults of a run, drawn from its seed. */
import type { Random } from '@paddlewind/domain';

/** Groups of faults, to be run separately. */
export const ARMS = [
  /** No worker ever crashes: outages of the store with expired entries, changes of leaders, cut-off workers. */
  'no_crash',
  /** Workers crash one at a time. */
  'single',
  /** Many workers crash together, several times in a row. */
  'series',
  /** The same, and the leader is killed or frozen. */
  'series_and_leaders',
  'all',
] as const;

/** A group of faults. */
export type Arm = (typeof ARMS)[number];

/** Kinds of faults. */
export type FaultKind =
  | 'kill_leader'
  | 'freeze_leader'
  | 'store_outage'
  | 'forget_entry'
  | 'cut_workers'
  | 'cut_series'
  | 'crash_worker'
  | 'crash_series';

/** A fault of a run; `at` counts from its start, in milliseconds. */
export interface PlannedFault {
  readonly kind: FaultKind;
  readonly at: number;
  readonly durationMs: number;
  /** Share of the workers that it affects. */
  readonly share: number;
  /** A further draw in [0, 1) for the details of the fault. */
  readonly detail: number;
}

interface KindOptions {
  readonly arms: readonly Arm[];
  /** Mean time between two faults of this kind, in milliseconds. */
  readonly everyMs: number;
  readonly durationMs: readonly [number, number];
  readonly share: readonly [number, number];
}

const KINDS: Readonly<Record<FaultKind, KindOptions>> = {
  kill_leader: {
    arms: ['no_crash', 'series_and_leaders', 'all'],
    everyMs: 12_000,
    durationMs: [500, 3_000],
    share: [0, 0],
  },
  freeze_leader: {
    arms: ['no_crash', 'series_and_leaders', 'all'],
    everyMs: 12_000,
    durationMs: [1_500, 6_000],
    share: [0, 0],
  },
  store_outage: {
    arms: ['no_crash', 'all'],
    everyMs: 9_000,
    durationMs: [1_000, 6_000],
    share: [0, 1],
  },
  forget_entry: {
    arms: ['no_crash', 'all'],
    everyMs: 15_000,
    durationMs: [0, 0],
    share: [0, 0],
  },
  cut_workers: {
    arms: ['no_crash', 'all'],
    everyMs: 6_000,
    durationMs: [1_000, 8_000],
    share: [0.05, 0.5],
  },
  /** Many workers are cut off together for longer than their leases, several times in a row. */
  cut_series: {
    arms: ['no_crash', 'all'],
    everyMs: 25_000,
    durationMs: [12_000, 35_000],
    share: [0.3, 0.6],
  },
  crash_worker: {
    arms: ['single', 'all'],
    everyMs: 2_500,
    durationMs: [1_500, 3_000],
    share: [0, 0],
  },
  crash_series: {
    arms: ['series', 'series_and_leaders', 'all'],
    everyMs: 20_000,
    durationMs: [9_000, 24_000],
    share: [0.3, 0.6],
  },
};

/** Time without faults at the start of a run, in milliseconds. */
const CALM_MS = 1_500;

/** Draws the faults of an arm for a run of `seconds`; kinds overlap freely. */
export function drawFaults(
  random: Random,
  arm: Arm,
  seconds: number,
): PlannedFault[] {
  const kinds = Object.keys(KINDS) as FaultKind[];
  const faults = kinds
    .filter(kind => KINDS[kind].arms.includes(arm))
    .flatMap(kind => drawKind(random, kind, seconds * 1_000));
  return faults.sort((a, b) => a.at - b.at);
}

function drawKind(
  random: Random,
  kind: FaultKind,
  endMs: number,
): PlannedFault[] {
  const { everyMs, durationMs, share } = KINDS[kind];
  const faults: PlannedFault[] = [];
  for (
    let at = CALM_MS + random() * 0.5 * everyMs;
    at < endMs;
    at += everyMs * (0.5 + random())
  ) {
    faults.push({
      kind,
      at: Math.round(at),
      durationMs: Math.round(Math.min(endMs - at, between(random, durationMs))),
      share: between(random, share),
      detail: random(),
    });
  }
  return faults;
}

function between(
  random: Random,
  [from, to]: readonly [number, number],
): number {
  return from + (to - from) * random();
}
