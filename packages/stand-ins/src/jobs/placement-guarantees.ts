/** Checks the guarantees on the workers that runs start on. */
import type { Instant, Millis } from '@paddlewind/domain';
import { taskName, type TaskSize } from '@paddlewind/domain/jobs';

import { RECOVERY_MS } from './fault-times.js';
import {
  stepOf,
  violation,
  type HistoryFacts,
  type RunTrace,
  type Violation,
  type WorkerTrace,
} from './history-facts.js';

/** Time after a worker announced its departure in which runs may start there, by the specification. */
const LEAVING_DELAY_MS: Millis = 2_000;

/** Time after the request to evacuate a zone in which runs may start there, by the specification. */
const EVACUATION_DELAY_MS: Millis = 5_000;

/** Time after which a reduced capacity has to be respected, by the specification: recovery and one report. */
const SHRINK_DELAY_MS: Millis = RECOVERY_MS + 1_100;

/** Returns the violations of placement guarantees by each start. */
export function checkPlacement(facts: HistoryFacts): Violation[] {
  return [...facts.workers.values()].flatMap(worker => {
    const onWorker = facts.runs.filter(run => run.worker === worker.id);
    return onWorker.flatMap((run, at) => {
      // Runs that start at the same time count in the order in which they were recorded.
      const concurrent = onWorker
        .slice(0, at)
        .filter(({ endedAt }) => endedAt > run.startedAt);
      return [
        ...startOnLeaving(worker, run),
        ...startInEvacuated(facts, worker, run),
        ...overCapacity(facts, worker, run, concurrent),
        ...ineligibleWorker(facts, worker, run, concurrent),
      ];
    });
  });
}

/** Returns a worker's capacity minus that of the given runs; the CPU of best-effort fillers doesn't count. */
export function freeCapacity(
  facts: HistoryFacts,
  { capacity }: WorkerTrace,
  runs: readonly RunTrace[],
): TaskSize {
  const free = { ...capacity };
  for (const { task } of runs) {
    const step = stepOf(facts, task);
    free.cpuMilli -= step?.filler === true ? 0 : (step?.size?.cpuMilli ?? 0);
    free.memoryMiB -= step?.size?.memoryMiB ?? 0;
    free.accelerators -= step?.size?.accelerators ?? 0;
  }
  return free;
}

function startOnLeaving(
  { leavingAt }: WorkerTrace,
  run: RunTrace,
): Violation[] {
  return !run.delayed && run.startedAt > leavingAt + LEAVING_DELAY_MS
    ? [
        violation(
          'not_on_leaving',
          taskName(run.task),
          [run],
          `leaves since ${leavingAt}`,
        ),
      ]
    : [];
}

function startInEvacuated(
  { evacuations }: HistoryFacts,
  { availabilityZone }: WorkerTrace,
  run: RunTrace,
): Violation[] {
  const inForce = evacuations.find(
    evacuation =>
      evacuation.availabilityZone === availabilityZone &&
      run.startedAt > evacuation.from + EVACUATION_DELAY_MS &&
      run.startedAt < evacuation.until,
  );
  return !run.delayed && inForce !== undefined
    ? [
        violation(
          'not_in_evacuated',
          taskName(run.task),
          [run],
          `${availabilityZone} is evacuated since ${inForce.from}`,
        ),
      ]
    : [];
}

/** Returns the largest capacity that hosts may assume at a time; a reduction takes effect with a delay. */
function largestCapacityAt(
  { capacity, resizes }: WorkerTrace,
  at: Instant,
): TaskSize {
  const known = [{ at: -Infinity, capacity }, ...resizes];
  const inForce = known.filter((size, index) => {
    const until = known[index + 1]?.at ?? Infinity;
    return size.at <= at && until > at - SHRINK_DELAY_MS;
  });
  const largest = (of: (size: TaskSize) => number): number =>
    Math.max(...inForce.map(size => of(size.capacity)));
  return {
    cpuMilli: largest(size => size.cpuMilli),
    memoryMiB: largest(size => size.memoryMiB),
    accelerators: largest(size => size.accelerators),
  };
}

/** Checks the capacity of a worker at a start; runs being stopped and runs of delayed orders count, too. */
function overCapacity(
  facts: HistoryFacts,
  worker: WorkerTrace,
  run: RunTrace,
  concurrent: readonly RunTrace[],
): Violation[] {
  const capacity = largestCapacityAt(worker, run.startedAt);
  const free = freeCapacity(facts, { ...worker, capacity }, [
    ...concurrent,
    run,
  ]);
  return Math.min(free.cpuMilli, free.memoryMiB, free.accelerators) < 0
    ? [violation('within_room', taskName(run.task), [run, ...concurrent])]
    : [];
}

function ineligibleWorker(
  facts: HistoryFacts,
  { labels }: WorkerTrace,
  run: RunTrace,
  concurrent: readonly RunTrace[],
): Violation[] {
  const { task } = run;
  const { label, maxPerWorker = Infinity } = stepOf(facts, task) ?? {};
  const sameStep = concurrent.filter(
    other =>
      other.task.job === task.job &&
      other.task.occurrence === task.occurrence &&
      other.task.step === task.step,
  );
  const lacksLabel = label !== undefined && !labels.includes(label);
  return lacksLabel || sameStep.length + 1 > maxPerWorker
    ? [violation('right_worker', taskName(task), [run, ...sameStep])]
    : [];
}
