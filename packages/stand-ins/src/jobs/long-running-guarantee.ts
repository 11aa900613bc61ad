/** Checks the guarantee that a long-running task runs while there is free capacity for two of its kind. */
import type { Instant, Millis } from '@paddlewind/domain';
import { taskName, type TaskRef, type TaskSize } from '@paddlewind/domain/jobs';

import type { FaultTimes } from './fault-times.js';
import {
  abandonableAt,
  stepDoneAt,
  stepOf,
  violation,
  type HistoryFacts,
  type RunTrace,
  type SubmittedJob,
  type SubmittedStep,
  type Violation,
  type WorkerTrace,
} from './history-facts.js';
import { freeCapacity } from './placement-guarantees.js';

/** Maximum time that a long-running task may be without a run. */
const MAX_GAP_MS: Millis = 6_000;
/** Time for which there has to be free capacity. */
const CAPACITY_SPAN_MS: Millis = 3_000;
/** Time before that which has to be free of faults. */
const FAULT_FREE_BEFORE_MS: Millis = 4_000;

interface Gap {
  readonly task: TaskRef;
  readonly from: Instant;
  readonly until: Instant;
}

/** Returns the long-running tasks that did not run although they could have. */
export function checkLongRunning(facts: HistoryFacts): Violation[] {
  const { faults } = facts;
  if (faults === undefined) {
    return [];
  }
  const changes = capacityChanges(facts);
  return [...facts.jobs].flatMap(([id, job]) =>
    job.steps.flatMap((step, at) => {
      if (step.lasting !== true) {
        return [];
      }
      return gapsOfStep(facts, id, job, at)
        .filter(gap => couldRun(facts, faults, changes, gap))
        .map(({ task, from, until }) =>
          violation(
            'lasting_runs',
            taskName(task),
            [],
            `no run from ${from} to ${until}`,
          ),
        );
    }),
  );
}

/** Returns the times at which free capacity may change. */
function capacityChanges({ runs, workers }: HistoryFacts): Instant[] {
  return [
    ...runs.flatMap(({ startedAt, endedAt }) => [startedAt, endedAt]),
    ...[...workers.values()].flatMap(({ joinedAt, leavingAt, endedAt }) => [
      joinedAt,
      leavingAt,
      endedAt,
    ]),
  ];
}

function gapsOfStep(
  facts: HistoryFacts,
  id: string,
  job: SubmittedJob,
  step: number,
): Gap[] {
  const { tasks = 0, after = [] } = job.steps[step] ?? {};
  const ready = after.map(before => stepDoneAt(facts, id, 0, before));
  const since = Math.max(job.acceptedAt ?? Infinity, ...ready);
  const end = Math.min(
    facts.now,
    job.cancelledAt,
    job.cancelRequestedAt ?? Infinity,
    abandonableAt(facts, id),
  );
  return Array.from({ length: tasks }, (_, index) => {
    const task = { job: id, occurrence: 0, step, index };
    const name = taskName(task);
    const runs = facts.runs.filter(run => taskName(run.task) === name);
    return gapsBetween(runs, since, end).map(gap => ({ task, ...gap }));
  }).flat();
}

function gapsBetween(
  runs: readonly RunTrace[],
  since: Instant,
  end: Instant,
): { from: Instant; until: Instant }[] {
  const found: { from: Instant; until: Instant }[] = [];
  let from = since;
  for (const { startedAt, endedAt } of runs) {
    found.push({ from, until: Math.min(startedAt, end) });
    from = Math.max(from, endedAt);
  }
  found.push({ from, until: end });
  return found;
}

function couldRun(
  facts: HistoryFacts,
  faults: FaultTimes,
  changes: readonly Instant[],
  { task, from, until }: Gap,
): boolean {
  const faultFreeFrom = faults
    .ends()
    .map(end => end + FAULT_FREE_BEFORE_MS + 1);
  return [from + MAX_GAP_MS, ...faultFreeFrom, ...changes]
    .filter(at => at >= from + MAX_GAP_MS && at + CAPACITY_SPAN_MS < until)
    .filter(at =>
      faults.isFaultFree(at - FAULT_FREE_BEFORE_MS, at + CAPACITY_SPAN_MS),
    )
    .some(at =>
      [at, ...changes.filter(x => x > at && x <= at + CAPACITY_SPAN_MS)].every(
        moment => freeSlotsAt(facts, moment, task) >= 2,
      ),
    );
}

/** Returns how many more tasks of the same step would fit on all workers. */
function freeSlotsAt(facts: HistoryFacts, at: Instant, task: TaskRef): number {
  const step = stepOf(facts, task);
  let slots = 0;
  for (const worker of facts.workers.values()) {
    if (step?.size !== undefined && isEligible(worker, at, step)) {
      const active = facts.runs.filter(
        run =>
          run.worker === worker.id && run.startedAt <= at && run.endedAt > at,
      );
      const sameStep = active.filter(
        run => run.task.job === task.job && run.task.step === task.step,
      );
      const fits = slotsIn(freeCapacity(facts, worker, active), step.size);
      const allowed = (step.maxPerWorker ?? Infinity) - sameStep.length;
      slots += Math.max(0, Math.min(fits, allowed));
    }
  }
  return slots;
}

function isEligible(
  { joinedAt, leavingAt, endedAt, labels }: WorkerTrace,
  at: Instant,
  { label }: SubmittedStep,
): boolean {
  const present = joinedAt <= at && at < Math.min(leavingAt, endedAt);
  return present && (label === undefined || labels.includes(label));
}

function slotsIn(left: TaskSize, size: TaskSize): number {
  const fits = Math.min(
    size.cpuMilli > 0 ? left.cpuMilli / size.cpuMilli : Infinity,
    size.memoryMiB > 0 ? left.memoryMiB / size.memoryMiB : Infinity,
    size.accelerators > 0 ? left.accelerators / size.accelerators : Infinity,
  );
  return Math.max(0, Math.floor(fits));
}
