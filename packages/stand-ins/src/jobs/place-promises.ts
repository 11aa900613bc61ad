/** Promises on where runs begin. */
import type { Millis } from '@paddlewind/domain';
import { taskName, type TaskSize } from '@paddlewind/domain/jobs';

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

/** What is being stopped still counts, and an order that was held up does so too. */
function beyondRoom(
  facts: Facts,
  worker: WorkerTrace,
  run: RunTrace,
  beside: readonly RunTrace[],
): Violation[] {
  const left = roomBeside(facts, worker, [...beside, run]);
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
