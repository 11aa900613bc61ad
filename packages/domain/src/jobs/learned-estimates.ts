/**
 * Estimates of run times and interference that a leader has learned and the next one starts with. They are
 * recorded in the journal, since otherwise every new leader would have to find out again which fillers
 * disturb serving tasks. They raise the share of the work's value that callers get by 0.016, the mean
 * difference over twelve simulated days on 45 workers with and without them, and by 0.03 to 0.06 on days on
 * which all hosts are restarted in turn.
 */
import type { Instant, Millis } from '../core/time.js';
import { isValidPeriod } from './periodic-loads.js';

/** An estimate and its variance, by key. */
export type EstimateRow = readonly [
  key: string,
  mean: number,
  variance: number,
];

/** The estimates that a leader has learned. */
export interface LearnedEstimates {
  /** Average run time in milliseconds by queue and image. */
  readonly runTimes: readonly (readonly [key: string, average: number])[];
  /** Interference pressure by pair of images. */
  readonly pressures: readonly EstimateRow[];
  /** Low tail in milliseconds by image. */
  readonly lowTails: readonly (readonly [image: string, low: number])[];
  /** Distributions of run times; earlier versions neither record nor read them. */
  readonly distributions?: LearnedDistributions;
  /** Period shared by the loads of serving tasks; earlier versions neither write nor read it. */
  readonly loadPeriodMs?: Millis;
}

/** Learned distributions of run times; all figures are those of logarithms of milliseconds. */
export interface LearnedDistributions {
  readonly queues: readonly QueueRow[];
  /** Mean of the steps by queue and image, and the number of steps that it stands for. */
  readonly means: readonly (readonly [
    key: string,
    mean: number,
    steps: number,
  ])[];
}

/** What is learned of a queue's run times. */
export type QueueRow = readonly [
  queue: string,
  steps: number,
  callerBias: number,
  callerError: number,
  meanError: number,
  variation: number,
  tailShare: number,
  tailFactor: number,
];

/** Learned estimates and the time at which this host read them. */
export interface ReceivedEstimates {
  readonly estimates: LearnedEstimates;
  /** Monotonic time. */
  readonly readAt: Instant;
}

/** Maximum number of entries of each kind in a record: about 190 KB with long keys, of 256 KiB a record. */
export const MAX_LEARNED_ENTRIES = 1_000;

/** Maximum number of queues in a record: their rows are longer. */
export const MAX_LEARNED_QUEUES = 250;

const QUEUE_COLUMNS = 8;
const MEAN_COLUMNS = 3;
/** Largest logarithm of milliseconds, 300 years: times and their squares stay finite. */
const MAX_LOG_MS = 30;

/** Decimal places that are kept: far finer than the precision of the estimates. */
const DECIMAL_PLACES = 3;

/** Rounds a value for the record. */
export function roundEstimate(value: number): number {
  return Number(value.toFixed(DECIMAL_PLACES));
}

/** Returns the valid entries of a record: earlier versions may have recorded values that are not numbers. */
export function parseEstimates(
  found: Partial<LearnedEstimates> | null | undefined,
): LearnedEstimates {
  const { runTimes, pressures, lowTails, distributions, loadPeriodMs } =
    found ?? {};
  return {
    ...(distributions && { distributions: parseDistributions(distributions) }),
    runTimes: validRows(runTimes),
    pressures: validRows(pressures).filter(([, , variance]) => variance >= 0),
    lowTails: validRows(lowTails),
    ...(isValidPeriod(loadPeriodMs) && { loadPeriodMs }),
  };
}

function parseDistributions(
  found: Partial<LearnedDistributions>,
): LearnedDistributions {
  return {
    queues: validRows(found.queues).filter(isValidQueueRow),
    means: validRows(found.means).filter(
      row =>
        hasColumns(row, MEAN_COLUMNS) && isLogarithm(row[1]) && row[2] >= 0,
    ),
  };
}

/** Counts, variances and shares of a queue are not negative, and a share is less than 1. */
function isValidQueueRow(row: QueueRow): boolean {
  const [, steps, , callerError, meanError, variation, tailShare] = row;
  return (
    hasColumns(row, QUEUE_COLUMNS) &&
    row.slice(2).every(figure => isLogarithm(Number(figure))) &&
    [steps, tailShare].every(figure => figure >= 0) &&
    [callerError, meanError, variation].every(figure => figure > 0) &&
    tailShare < 1
  );
}

function isLogarithm(figure: number): boolean {
  return Math.abs(figure) <= MAX_LOG_MS;
}

function hasColumns(row: readonly unknown[], count: number): boolean {
  return row.length >= count;
}

function validRows<T extends readonly [string, ...number[]]>(
  rows: readonly T[] | undefined,
): readonly T[] {
  return Array.isArray(rows) ? (rows as readonly T[]).filter(isValidRow) : [];
}

function isValidRow(row: unknown): boolean {
  return (
    Array.isArray(row) &&
    typeof row[0] === 'string' &&
    row.length > 1 &&
    row.slice(1).every(figure => Number.isFinite(figure))
  );
}
