/** Promises on the runs of one task. */
import type { Millis } from '@paddlewind/domain';
import { taskName } from '@paddlewind/domain/jobs';

import {
  stepDoneAt,
  stepOf,
  violation,
  type Facts,
  type RunTrace,
  type Violation,
} from './history-facts.js';

/** Longest time after a confirmed cancellation in which a task may still begin, in milliseconds. */
export const CANCEL_MS: Millis = 3_000;
/** A copy may still begin this long after the end that made it needless was acknowledged. */
const COPY_MS: Millis = 1_000;

/** Returns the broken promises on each task by itself. */
export function checkTasks(facts: Facts): Violation[] {
  const byTask = new Map<string, RunTrace[]>();
  for (const trace of facts.runs) {
    const name = taskName(trace.task);
    byTask.set(name, [...(byTask.get(name) ?? []), trace]);
  }
  return [...byTask].flatMap(([name, runs]) => checkTask(facts, name, runs));
}

function checkTask(
  facts: Facts,
  name: string,
  runs: readonly RunTrace[],
): Violation[] {
  const [first] = runs;
  const step = first && stepOf(facts, first.task);
  const copies = step?.speculative === true;
  const lasting = step?.lasting === true;
  return [
    ...(copies ? [] : overlaps(name, runs)),
    ...repeats(name, runs, copies),
    // A task that lasts may fail as often as it does.
    ...(lasting ? [] : attempts(facts, name, runs, copies)),
    ...crashes(name, runs),
    ...beginsLate(facts, name, runs),
    ...outOfOrder(facts, name, runs),
  ];
}

function overlaps(name: string, runs: readonly RunTrace[]): Violation[] {
  for (let at = 1; at < runs.length; at += 1) {
    const [before, after] = [runs[at - 1], runs[at]];
    if (before && after && after.beganAt < before.endedAt) {
      return [violation('one_place_at_a_time', name, [before, after])];
    }
  }
  return [];
}

function repeats(
  name: string,
  runs: readonly RunTrace[],
  copies: boolean,
): Violation[] {
  const done = runs.find(
    ({ how, notedAt }) => how === 'done' && notedAt < Infinity,
  );
  if (done === undefined) {
    return [];
  }
  const again = copies
    ? runs.find(run => !run.late && run.beganAt > done.notedAt + COPY_MS)
    : runs.find(({ beganAt }) => beganAt > done.endedAt);
  return again === undefined
    ? []
    : [violation('finish_once', name, [done, again])];
}

/** A copy may fail as well while the last attempt does. */
function attempts(
  { jobs }: Facts,
  name: string,
  runs: readonly RunTrace[],
  copies: boolean,
): Violation[] {
  const maxAttempts = jobs.get(runs[0]?.task.job ?? '')?.maxAttempts;
  if (maxAttempts === undefined) {
    return [];
  }
  const failed = runs
    .filter(({ how, notedAt }) => how === 'failed' && notedAt < Infinity)
    .sort((a, b) => a.notedAt - b.notedAt);
  const spentAt = failed[maxAttempts - 1]?.notedAt ?? Infinity;
  const broken = copies
    ? runs.filter(run => !run.late && run.beganAt > spentAt + COPY_MS)
    : failed.slice(maxAttempts);
  return broken.length === 0
    ? []
    : [violation('attempts_bounded', name, [...failed, ...broken])];
}

/** Workers that one task may bring down, and how often it may be started beyond that. */
const MAX_CRASHES = 3;
const MAX_FURTHER_STARTS = 2;

function crashes(name: string, runs: readonly RunTrace[]): Violation[] {
  const third = runs
    .filter(({ crashed }) => crashed)
    .sort((a, b) => a.endedAt - b.endedAt)[MAX_CRASHES - 1];
  if (third === undefined) {
    return [];
  }
  const further = runs.filter(run => !run.late && run.beganAt > third.endedAt);
  return further.length <= MAX_FURTHER_STARTS
    ? []
    : [violation('crashes_bounded', name, [third, ...further])];
}

function beginsLate(
  { jobs }: Facts,
  name: string,
  runs: readonly RunTrace[],
): Violation[] {
  const cancelledAt = jobs.get(runs[0]?.task.job ?? '')?.cancelledAt;
  const late = runs.filter(
    run => !run.late && run.beganAt > (cancelledAt ?? Infinity) + CANCEL_MS,
  );
  return late.length === 0
    ? []
    : [violation('nothing_after_cancel', name, late)];
}

function outOfOrder(
  facts: Facts,
  name: string,
  runs: readonly RunTrace[],
): Violation[] {
  const [first] = runs;
  if (first === undefined) {
    return [];
  }
  const { job, occurrence } = first.task;
  const before = stepOf(facts, first.task)?.after ?? [];
  return before
    .filter(step => stepDoneAt(facts, job, occurrence, step) > first.beganAt)
    .map(() => violation('steps_in_order', name, runs));
}
