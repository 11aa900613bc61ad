/** Limits that the leader reports, by which hosts refuse jobs that would not be served in time. */
import type { Instant, Millis } from '../core/time.js';
import {
  capacityRefusalOf,
  type AcceptedBefore,
  type CapacityRefusal,
} from './capacity-refusal.js';
import type { CapacityRow } from './capacity-rows.js';
import { losesByWaiting, type JobSpec } from './spec.js';
import { latenessOf, type StartDelays } from './start-delay.js';

/** A kind of worker: the workers of a service, or those of them that have a label. */
export type WorkerKind = readonly [service: string, label?: string];

/** The fields of a registered worker that determine its kinds. */
export interface RegisteredWorker {
  readonly service: string;
  readonly labels: readonly string[];
  readonly availabilityZone: string;
}

/** Limits on the jobs that hosts accept, as the leader has last reported them. */
export interface AdmissionLimits {
  /** How late new tasks start. */
  readonly startDelays: StartDelays;
  /** Kinds of workers of which every registered one is in an evacuated zone. */
  readonly evacuatedKinds: readonly WorkerKind[];
  /** Forecast of capacity; empty where nothing is forecast. */
  readonly rooms: readonly CapacityRow[];
  /** Monotonic time from which the forecast refuses nothing, set by the host that has read it. */
  readonly roomsUntil: Instant;
}

/** Limits while nothing is refused. */
export const NO_LIMITS: AdmissionLimits = {
  startDelays: [],
  evacuatedKinds: [],
  rooms: [],
  roomsUntil: -Infinity,
};

/** Why a job is refused. */
export type Refusal =
  | { readonly why: 'too_late'; readonly retryAfterMs: Millis }
  | { readonly why: 'evacuated' }
  | CapacityRefusal;

/** Most kinds of workers that are reported, which bounds the size of a record. */
const MAX_REPORTED_KINDS = 32;

/** Returns the kinds of workers that are all in evacuated zones; a service comes before its labels. */
export function evacuatedKindsOf(
  registered: readonly RegisteredWorker[],
  isEvacuated: (availabilityZone: string) => boolean,
): WorkerKind[] {
  const kinds = new Map<string, WorkerKind>();
  const open = new Set<string>();
  for (const { service, labels, availabilityZone } of registered) {
    const kindsHere: WorkerKind[] = [
      [service],
      ...labels.map((label): WorkerKind => [service, label]),
    ];
    for (const kind of kindsHere) {
      const key = JSON.stringify(kind);
      kinds.set(key, kind);
      if (!isEvacuated(availabilityZone)) {
        open.add(key);
      }
    }
  }
  return [...kinds]
    .filter(([key]) => !open.has(key))
    .map(([, kind]) => kind)
    .sort((a, b) => a.length - b.length)
    .slice(0, MAX_REPORTED_KINDS);
}

/**
 * Returns why a job that is submitted now would not be served in time; undefined if it may be. Nothing is
 * refused by the forecast of capacity without a time `now`.
 */
export function refusalOf(
  job: JobSpec,
  limits: AdmissionLimits,
  now: Instant = Infinity,
  acceptedBefore?: AcceptedBefore,
): Refusal | undefined {
  if (needsEvacuatedKind(job, limits.evacuatedKinds)) {
    return { why: 'evacuated' };
  }
  const retryAfterMs = latenessOf(job, limits.startDelays);
  return retryAfterMs > 0
    ? { why: 'too_late', retryAfterMs }
    : capacityRefusalOf(job, limits, now, acceptedBefore);
}

/** Whether a job that loses by waiting has a step that can only run on workers in evacuated zones. */
function needsEvacuatedKind(
  job: JobSpec,
  evacuatedKinds: readonly WorkerKind[],
): boolean {
  const { steps, terms } = job;
  return (
    losesByWaiting(job) &&
    evacuatedKinds.some(
      ([service, label]) =>
        service === terms.service &&
        (label === undefined || steps.some(step => step.label === label)),
    )
  );
}
