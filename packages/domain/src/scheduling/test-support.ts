/** Builders shared by the tests of scheduling; not exported from the package. */
import { seededRandom } from '../core/random.js';
import { jobSchema, policySchema } from '../declarations/schemas.js';
import type { JobSpec, PolicySpec } from '../declarations/schemas.js';

import { applyRecord } from './fold.js';
import { plan } from './planning/plan.js';
import { decision, type Decision, type DecisionOf } from './records.js';
import { createScheduleState, type ScheduleState } from './state.js';
import type { Verdict } from './verdict.js';
import type { ScheduleView, SchedulableWorker } from './view.js';

export const SHARD = 'shard-a';
export const OTHER_SHARD = 'shard-b';

/** Returns a job of one task of one core, changed by `spec`. */
export function makeJob(
  name: string,
  spec: Partial<Record<keyof JobSpec, unknown>> = {},
): JobSpec {
  return jobSchema.parse({
    kind: 'job',
    name,
    team: 'team-a',
    tasks: 1,
    size: { cpu: 1, memoryMiB: 1_024 },
    command: ['run'],
    ...spec,
  });
}

/** Returns a policy for work labelled `work: label`. */
export function makePolicy(
  label: string,
  policy: Partial<PolicySpec>,
): PolicySpec {
  return policySchema.parse({
    kind: 'policy',
    name: label,
    order: 1,
    class: 'batch',
    work: { labels: { work: label } },
    ...policy,
  });
}

/** Returns a worker of 4 cores and 8 GiB, changed by `view`. */
export function makeWorker(
  id: string,
  view: Partial<SchedulableWorker> = {},
): SchedulableWorker {
  return {
    id,
    rack: 'rack-1',
    labels: {},
    capacity: { cpu: 4, memoryMiB: 8_192, accelerators: 0 },
    reserved: { cpu: 0, memoryMiB: 0, accelerators: 0 },
    availability: 'live',
    batchPenalty: 0,
    avoidBatch: false,
    ...view,
  };
}

/** A log and its fold, with one owner that plans. */
export interface Bed {
  readonly state: ScheduleState;
  readonly records: Decision[];
  view: ScheduleView;
  now: number;
  append(record: Decision): Verdict;
  /** Plans once, appends the decisions and returns them. */
  plan(): Decision[];
}

const START_WALL = 1_000_000;

/** Returns a bed with one shard opened under epoch 1. */
export function makeBed(
  workers: readonly SchedulableWorker[],
  view: Partial<ScheduleView> = {},
): Bed {
  const state = createScheduleState([SHARD]);
  const records: Decision[] = [];
  const random = seededRandom(1);
  const bed: Bed = {
    state,
    records,
    now: START_WALL,
    view: {
      shard: SHARD,
      epoch: 1,
      workers,
      policies: [],
      teams: [],
      siblings: [],
      logAvailable: true,
      pending: [],
      ...view,
    },
    append(record) {
      records.push(record);
      const offset = records.length - 1;
      return applyRecord(state, record, { offset, index: 0 });
    },
    plan() {
      const made = plan(state, bed.view, bed.now, random);
      made.forEach(each => bed.append(each));
      return made;
    },
  };
  bed.append(open(1));
  return bed;
}

/** Returns the opening of the shard under `epoch`. */
export function open(epoch: number, shard = SHARD): Decision {
  return decision('owner_opened', { shard, epoch, owner: `host-${epoch}` });
}

/** Submits a job to the bed's shard. */
export function submit(bed: Bed, job: JobSpec): Verdict {
  return bed.append(
    decision('job_submitted', {
      job,
      shard: SHARD,
      submittedAtWall: bed.now,
    }),
  );
}

/** Returns a start of a task under epoch 1, changed by `body`. */
export function startOf(
  task: string,
  body: Partial<DecisionOf<'task_started'>['body']> = {},
): Decision {
  return decision('task_started', {
    shard: SHARD,
    epoch: 1,
    task,
    attempt: 1,
    worker: 'w1',
    atWall: START_WALL,
    ...body,
  });
}

/** Returns an end of a task under epoch 1, changed by `body`. */
export function endOf(
  task: string,
  body: Partial<DecisionOf<'task_ended'>['body']> = {},
): Decision {
  return decision('task_ended', {
    shard: SHARD,
    epoch: 1,
    task,
    attempt: 1,
    result: 'completed',
    atWall: START_WALL,
    ...body,
  });
}

/** Returns the starts among decisions, as `task@worker`. */
export function starts(decisions: readonly Decision[]): string[] {
  return decisions.flatMap(each =>
    each.kind === 'task_started' ? `${each.body.task}@${each.body.worker}` : [],
  );
}
