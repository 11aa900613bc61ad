/** References to tasks and their textual form. */

/** Identifies a task by its job, occurrence, step and index within the step. */
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

/** Parses a name made by `taskName`; any other text gives a reference that matches no task. */
export function parseTaskName(name: unknown): TaskRef {
  const parts = typeof name === 'string' ? name.split('.') : [];
  const [job = '', occurrence, step, index] = parts;
  return {
    job,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
}
