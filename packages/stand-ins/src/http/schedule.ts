/** Timers of the stand-ins that run in real time. */
import type { Millis } from '@paddlewind/domain';

/** Schedules by the timers of Node.js; returns what cancels the task. */
export function scheduleByTimeout(delay: Millis, task: () => void): () => void {
  const timer = setTimeout(task, delay);
  return () => {
    clearTimeout(timer);
  };
}
