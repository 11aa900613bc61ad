/** Checks the guarantees on the runs of one task. */
import type { Millis } from '@paddlewind/domain';
import { taskName } from '@paddlewind/domain/jobs';

import {
  stepDoneAt,
  stepOf,
  violation,
  type HistoryFacts,
  type RunTrace,
  type Violation,
} from './history-facts.js';

/** Time after a confirmed cancellation in which a task may still start, in milliseconds. */
export const CANCEL_DELAY_MS: Millis = 3_000;
/** Time after the acknowledged end of a task in which a speculative copy may still start, in milliseconds. */
const COPY_DELAY_MS: Millis = 1_000;

/** Returns the violations of each task. */
export function checkTasks(facts: HistoryFacts): Violation[] {
  const byTask = new Map<string, RunTrace[]>();
  for (const trace of facts.runs) {
    const name = taskName(trace.task);
    byTask.set(name, [...(byTask.get(name) ?? []), trace]);
  }
  return [...byTask].flatMap(([name, runs]) => checkTask(facts, name, runs));
}

function checkTask(
  facts: HistoryFacts,
  name: string,
  runs: readonly RunTrace[],
): Violation[] {
  const [first] = runs;
  const step = first && stepOf(facts, first.task);
  const copies = step?.speculative === true;
  const isLongRunning = step?.lasting === true;
  return [
    ...(copies ? [] : overlappingRuns(name, runs)),
    ...runsAfterDone(name, runs, copies),
    // The failures of a long-running task are not limited.
    ...(isLongRunning ? [] : excessAttempts(facts, name, runs, copies)),
    ...excessCrashes(name, runs),
    ...startsAfterCancel(facts, name, runs),
    ...stepsOutOfOrder(facts, name, runs),
  ];
}

function overlappingRuns(name: string, runs: readonly RunTrace[]): Violation[] {
  for (let at = 1; at < runs.length; at += 1) {
    const [before, after] = [runs[at - 1], runs[at]];
    if (before && after && after.startedAt < before.endedAt) {
      return [violation('one_place_at_a_time', name, [before, after])];
    }
  }
  return [];
}

function runsAfterDone(
  name: string,
  runs: readonly RunTrace[],
  copies: boolean,
): Violation[] {
  const done = runs.find(
    ({ how, acknowledgedAt }) => how === 'done' && acknowledgedAt < Infinity,
  );
  if (done === undefined) {
    return [];
  }
  const again = copies
    ? runs.find(
        run =>
          !run.delayed && run.startedAt > done.acknowledgedAt + COPY_DELAY_MS,
      )
    : runs.find(({ startedAt }) => startedAt > done.endedAt);
  return again === undefined
    ? []
    : [violation('finish_once', name, [done, again])];
}

/** Returns runs beyond the maximum attempts; speculative copies of the last attempt may fail, too. */
function excessAttempts(
  { jobs }: HistoryFacts,
  name: string,
  runs: readonly RunTrace[],
  copies: boolean,
): Violation[] {
  const maxAttempts = jobs.get(runs[0]?.task.job ?? '')?.maxAttempts;
  if (maxAttempts === undefined) {
    return [];
  }
  const failed = runs
    .filter(
      ({ how, acknowledgedAt }) =>
        how === 'failed' && acknowledgedAt < Infinity,
    )
    .sort((a, b) => a.acknowledgedAt - b.acknowledgedAt);
  const spentAt = failed[maxAttempts - 1]?.acknowledgedAt ?? Infinity;
  const broken = copies
    ? runs.filter(
        run => !run.delayed && run.startedAt > spentAt + COPY_DELAY_MS,
      )
    : failed.slice(maxAttempts);
  return broken.length === 0
    ? []
    : [violation('attempts_bounded', name, [...failed, ...broken])];
}

/** Number of workers that one task may crash. */
const MAX_CRASHES = 3;
/** Number of starts that may follow the last of these crashes. */
const MAX_FURTHER_STARTS = 2;

function excessCrashes(name: string, runs: readonly RunTrace[]): Violation[] {
  const third = runs
    .filter(({ crashedWorker }) => crashedWorker)
    .sort((a, b) => a.endedAt - b.endedAt)[MAX_CRASHES - 1];
  if (third === undefined) {
    return [];
  }
  const further = runs.filter(
    run => !run.delayed && run.startedAt > third.endedAt,
  );
  return further.length <= MAX_FURTHER_STARTS
    ? []
    : [violation('crashes_bounded', name, [third, ...further])];
}

function startsAfterCancel(
  { jobs }: HistoryFacts,
  name: string,
  runs: readonly RunTrace[],
): Violation[] {
  const cancelledAt = jobs.get(runs[0]?.task.job ?? '')?.cancelledAt;
  const late = runs.filter(
    run =>
      !run.delayed &&
      run.startedAt > (cancelledAt ?? Infinity) + CANCEL_DELAY_MS,
  );
  return late.length === 0
    ? []
    : [violation('nothing_after_cancel', name, late)];
}

function stepsOutOfOrder(
  facts: HistoryFacts,
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
    .filter(step => stepDoneAt(facts, job, occurrence, step) > first.startedAt)
    .map(() => violation('steps_in_order', name, runs));
}
