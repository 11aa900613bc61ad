/** What a simulated task does, told by its command and its checkpoint. */

/** Run time of a command that names none, in milliseconds. */
const DEFAULT_RUN_MS = 1_000;

/** How long a task runs at full speed, and how it ends. */
export interface Workload {
  readonly runMs: number;
  readonly end: 'completed' | 'failed';
}

/** Reads a workload: `["sleep", SECONDS]` completes, `["fail", SECONDS]` fails, others complete after a second. */
export function parseWorkload(command: readonly string[]): Workload {
  const [name, seconds] = command;
  const parsed = Number(seconds);
  const known = name === 'sleep' || name === 'fail';
  const valid = known && Number.isFinite(parsed) && parsed >= 0;
  const runMs = valid ? parsed * 1_000 : DEFAULT_RUN_MS;
  return { runMs, end: name === 'fail' ? 'failed' : 'completed' };
}

/** Encodes progress, 0 to 1, as a checkpoint. */
export function encodeCheckpoint(progress: number): string {
  return `progress:${progress.toFixed(6)}`;
}

/** Returns the progress of a checkpoint; 0 without one or when it is malformed. */
export function decodeCheckpoint(checkpoint: string | undefined): number {
  const match = /^progress:([01]\.\d+)$/.exec(checkpoint ?? '');
  return match === null ? 0 : Number(match[1]);
}
