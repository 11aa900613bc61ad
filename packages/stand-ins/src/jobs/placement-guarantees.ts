/** Promises on where runs begin. */
import type { Instant, Millis } from '@paddlewind/domain';
import { taskName, type TaskSize } from '@paddlewind/domain/jobs';

import { CONTACT_MS } from './fault-times.js';
import {
  stepOf,
  violation,
  type Facts,
  type RunTrace,
  type Violation,
  type WorkerTrace,
} from './history-facts.js';

/** Longest time after a worker's announcement in which a run may begin there, as the users' rules say. */
const LEAVING_MS: Millis = 2_000;

/** Time after which a capacity that has shrunk counts, as the users' rules say: contact and one report. */
const SHRUNK_MS: Millis = CONTACT_MS + 1_100;

/** Returns the broken promises on each start. */
export function checkPlaces(facts: Facts): Violation[] {
  return [...facts.workers.values()].flatMap(worker => {
    const here = facts.runs.filter(run => run.worker === worker.id);
    return here.flatMap((run, at) => {
      // Runs that begin at the same moment count in the order in which they began.
      const beside = here
        .slice(0, at)
        .filter(({ endedAt }) => endedAt > run.beganAt);
      return [
        ...onLeaving(worker, run),
        ...beyondRoom(facts, worker, run, beside),
        ...wrongWorker(facts, worker, run, beside),
      ];
    });
  });
}

/** Returns what is left of a worker beside some runs; processors of fillers are not counted. */
export function roomBeside(
  facts: Facts,
  { capacity }: WorkerTrace,
  runs: readonly RunTrace[],
): TaskSize {
  const left = { ...capacity };
  for (const { task } of runs) {
    const step = stepOf(facts, task);
    left.cpuMilli -= step?.filler === true ? 0 : (step?.size?.cpuMilli ?? 0);
    left.memoryMiB -= step?.size?.memoryMiB ?? 0;
    left.accelerators -= step?.size?.accelerators ?? 0;
  }
  return left;
}

function onLeaving({ leavingAt }: WorkerTrace, run: RunTrace): Violation[] {
  return !run.late && run.beganAt > leavingAt + LEAVING_MS
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

/** Returns the largest capacity that hosts may go by at a moment: one that has shrunk counts a little later. */
function largestUntil(
  { capacity, resizes }: WorkerTrace,
  at: Instant,
): TaskSize {
  const known = [{ at: -Infinity, capacity }, ...resizes];
  const counts = known.filter((size, index) => {
    const until = known[index + 1]?.at ?? Infinity;
    return size.at <= at && until > at - SHRUNK_MS;
  });
  const largest = (of: (size: TaskSize) => number): number =>
    Math.max(...counts.map(size => of(size.capacity)));
  return {
    cpuMilli: largest(size => size.cpuMilli),
    memoryMiB: largest(size => size.memoryMiB),
    accelerators: largest(size => size.accelerators),
  };
}

/** What is being stopped still counts, and an order that was held up does so too. */
function beyondRoom(
  facts: Facts,
  worker: WorkerTrace,
  run: RunTrace,
  beside: readonly RunTrace[],
): Violation[] {
  const capacity = largestUntil(worker, run.beganAt);
  const left = roomBeside(facts, { ...worker, capacity }, [...beside, run]);
  return Math.min(left.cpuMilli, left.memoryMiB, left.accelerators) < 0
    ? [violation('within_room', taskName(run.task), [run, ...beside])]
    : [];
}

function wrongWorker(
  facts: Facts,
  { labels }: WorkerTrace,
  run: RunTrace,
  beside: readonly RunTrace[],
): Violation[] {
  const { task } = run;
  const { label, maxPerWorker = Infinity } = stepOf(facts, task) ?? {};
  const alike = beside.filter(
    other =>
      other.task.job === task.job &&
      other.task.occurrence === task.occurrence &&
      other.task.step === task.step,
  );
  const lacksLabel = label !== undefined && !labels.includes(label);
  return lacksLabel || alike.length + 1 > maxPerWorker
    ? [violation('right_worker', taskName(task), [run, ...alike])]
    : [];
}
