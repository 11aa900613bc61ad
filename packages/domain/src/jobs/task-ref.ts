/** Names of tasks. */

/** Names one task: job, occurrence, step and index within the step. */
export interface TaskRef {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Returns `JOB.OCCURRENCE.STEP.INDEX`. */
export function taskName(task: TaskRef): string {
  return `${task.job}.${task.occurrence}.${task.step}.${task.index}`;
}

/** Parses what `taskName` made. */
export function parseTaskName(name: string): TaskRef {
  const [job = '', occurrence, step, index] = name.split('.');
  return {
    job,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
}
