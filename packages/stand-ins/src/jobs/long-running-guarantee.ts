/** The promise that a lasting task runs while there is room for it twice over. */
import type { Instant, Millis } from '@paddlewind/domain';
import { taskName, type TaskRef, type TaskSize } from '@paddlewind/domain/jobs';

import type { FaultTimes } from './fault-times.js';
import {
  blamedAt,
  stepDoneAt,
  stepOf,
  violation,
  type Facts,
  type PromisedJob,
  type PromisedStep,
  type RunTrace,
  type Violation,
  type WorkerTrace,
} from './history-facts.js';
import { roomBeside } from './placement-guarantees.js';

/** Time after a run in which a lasting task may be away. */
const AWAY_MS: Millis = 6_000;
/** How long there has to be room. */
const ROOM_MS: Millis = 3_000;
/** How long before that nothing may have been disturbed. */
const CALM_BEFORE_MS: Millis = 4_000;

interface Idle {
  readonly task: TaskRef;
  readonly from: Instant;
  readonly until: Instant;
}

/** Returns the lasting tasks that did not run though they could. */
export function checkLasting(facts: Facts): Violation[] {
  const { faults } = facts;
  if (faults === undefined) {
    return [];
  }
  const changes = changesOf(facts);
  return [...facts.jobs].flatMap(([id, job]) =>
    job.steps.flatMap((step, at) => {
      if (step.lasting !== true) {
        return [];
      }
      return idles(facts, id, job, at)
        .filter(idle => couldRun(facts, faults, changes, idle))
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

/** Moments at which room may become less or more. */
function changesOf({ runs, workers }: Facts): Instant[] {
  return [
    ...runs.flatMap(({ beganAt, endedAt }) => [beganAt, endedAt]),
    ...[...workers.values()].flatMap(({ joinedAt, leavingAt, goneAt }) => [
      joinedAt,
      leavingAt,
      goneAt,
    ]),
  ];
}

function idles(
  facts: Facts,
  id: string,
  job: PromisedJob,
  step: number,
): Idle[] {
  const { tasks = 0, after = [] } = job.steps[step] ?? {};
  const ready = after.map(before => stepDoneAt(facts, id, 0, before));
  const since = Math.max(job.acceptedAt ?? Infinity, ...ready);
  const end = Math.min(
    facts.now,
    job.cancelledAt,
    job.cancelRequestedAt ?? Infinity,
    blamedAt(facts, id),
  );
  return Array.from({ length: tasks }, (_, index) => {
    const task = { job: id, occurrence: 0, step, index };
    const name = taskName(task);
    const runs = facts.runs.filter(run => taskName(run.task) === name);
    return gaps(runs, since, end).map(gap => ({ task, ...gap }));
  }).flat();
}

function gaps(
  runs: readonly RunTrace[],
  since: Instant,
  end: Instant,
): { from: Instant; until: Instant }[] {
  const found: { from: Instant; until: Instant }[] = [];
  let from = since;
  for (const { beganAt, endedAt } of runs) {
    found.push({ from, until: Math.min(beganAt, end) });
    from = Math.max(from, endedAt);
  }
  found.push({ from, until: end });
  return found;
}

function couldRun(
  facts: Facts,
  faults: FaultTimes,
  changes: readonly Instant[],
  { task, from, until }: Idle,
): boolean {
  const calmFrom = faults.ends().map(end => end + CALM_BEFORE_MS + 1);
  return [from + AWAY_MS, ...calmFrom, ...changes]
    .filter(at => at >= from + AWAY_MS && at + ROOM_MS < until)
    .filter(at => faults.isFaultFree(at - CALM_BEFORE_MS, at + ROOM_MS))
    .some(at =>
      [at, ...changes.filter(x => x > at && x <= at + ROOM_MS)].every(
        moment => placesAt(facts, moment, task) >= 2,
      ),
    );
}

/** Number of further tasks of a task's step for which there is room. */
function placesAt(facts: Facts, at: Instant, task: TaskRef): number {
  const step = stepOf(facts, task);
  let places = 0;
  for (const worker of facts.workers.values()) {
    if (step?.size !== undefined && isOffered(worker, at, step)) {
      const here = facts.runs.filter(
        run =>
          run.worker === worker.id && run.beganAt <= at && run.endedAt > at,
      );
      const alike = here.filter(
        run => run.task.job === task.job && run.task.step === task.step,
      );
      const fits = placesIn(roomBeside(facts, worker, here), step.size);
      const allowed = (step.maxPerWorker ?? Infinity) - alike.length;
      places += Math.max(0, Math.min(fits, allowed));
    }
  }
  return places;
}

function isOffered(
  { joinedAt, leavingAt, goneAt, labels }: WorkerTrace,
  at: Instant,
  { label }: PromisedStep,
): boolean {
  const here = joinedAt <= at && at < Math.min(leavingAt, goneAt);
  return here && (label === undefined || labels.includes(label));
}

function placesIn(left: TaskSize, size: TaskSize): number {
  const fits = Math.min(
    size.cpuMilli > 0 ? left.cpuMilli / size.cpuMilli : Infinity,
    size.memoryMiB > 0 ? left.memoryMiB / size.memoryMiB : Infinity,
    size.accelerators > 0 ? left.accelerators / size.accelerators : Infinity,
  );
  return Math.max(0, Math.floor(fits));
}
