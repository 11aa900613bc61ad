/** Fleets and jobs for the benchmark of placement, drawn from a seed. */
import {
  jobSchema,
  policySchema,
  type JobSpec,
  type PolicySpec,
  type Random,
  type Resources,
  type SchedulableWorker,
  type ScheduleView,
} from '@paddlewind/domain';

/** Workers of the planned fleet. */
export const FLEET_WORKERS = 3_100;
/** Tasks running on the planned fleet. */
export const FLEET_TASKS = 74_000;
/** Workers that one shard holds. */
export const SHARD_WORKERS = 37;
/** Teams with quotas. */
export const TEAMS = 79;

const RACK_WORKERS = 8;
const GIB = 1_024;

const SMALL: Resources = { cpu: 16, memoryMiB: 60 * GIB, accelerators: 0 };
const LARGE: Resources = { cpu: 64, memoryMiB: 250 * GIB, accelerators: 0 };
const ACCELERATED: Resources = { ...LARGE, accelerators: 4 };

const NOTHING: Resources = { cpu: 0, memoryMiB: 0, accelerators: 0 };

/** Policies by the label `work`: urgent, low and preemptible, and the rest. */
export const POLICIES: readonly PolicySpec[] = [
  policy('urgent', { priority: 'urgent', class: 'latency_critical' }),
  policy('low', { priority: 'low', preemptible: true }),
];

function policy(label: string, extra: Partial<PolicySpec>): PolicySpec {
  return policySchema.parse({
    kind: 'policy',
    name: label,
    order: 1,
    class: 'batch',
    work: { labels: { work: label } },
    ...extra,
  });
}

/** Returns the workers of one shard: three of five small, the rest large, one in ten accelerated. */
export function makeWorkers(count: number): SchedulableWorker[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `w${i}`,
    rack: `rack-${Math.floor(i / RACK_WORKERS)}`,
    labels: {},
    capacity: capacityAt(i),
    reserved: NOTHING,
    availability: 'live',
    batchPenalty: 0,
    avoidBatch: false,
  }));
}

function capacityAt(index: number): Resources {
  if (index % 10 === 9) {
    return ACCELERATED;
  }
  return index % 5 < 3 ? SMALL : LARGE;
}

/** Returns a planner's view of a shard without siblings or quotas. */
export function makeView(
  shard: string,
  workers: readonly SchedulableWorker[],
): ScheduleView {
  return {
    shard,
    epoch: 1,
    workers,
    policies: POLICIES,
    teams: [],
    siblings: [],
    logAvailable: true,
    pending: [],
  };
}

/** Draws the size of a task: about one core in the mean, at most 3.5. */
export function drawSize(random: Random): Resources {
  const skew = random() ** 3;
  const cpu = Math.round((0.25 + 3.25 * skew) * 4) / 4;
  const memoryMiB = Math.round(cpu * (1 + 5 * random()) * GIB);
  const accelerators = random() < 0.01 ? 1 : 0;
  return { cpu, memoryMiB, accelerators };
}

/** Draws a job of `tasks` tasks under a name. */
export function drawJob(name: string, tasks: number, random: Random): JobSpec {
  const kind = random();
  const work = kind < 0.05 ? 'urgent' : kind < 0.35 ? 'low' : 'normal';
  return jobSchema.parse({
    kind: 'job',
    name,
    team: `team-${Math.floor(random() * TEAMS)}`,
    labels: { work },
    tasks,
    size: drawSize(random),
    command: ['run', name],
    expectedSeconds: 600,
  });
}
