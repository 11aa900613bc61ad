/** Names of tasks. */

/** Name of a task: `job/index`. */
export type TaskId = string;

/** A task's job and its place in it. */
export interface TaskName {
  readonly job: string;
  readonly index: number;
}

/** Returns the id of the task at `index` of `job`. */
export function taskId(job: string, index: number): TaskId {
  return `${job}/${index}`;
}

/** Splits a task id that matches the records' schema. */
export function parseTaskId(id: TaskId): TaskName {
  const slash = id.lastIndexOf('/');
  return { job: id.slice(0, slash), index: Number(id.slice(slash + 1)) };
}
