/** A process that can be paused: its timers and the answers it awaits wait until it goes on. */
import type { Schedule } from '@paddlewind/domain';
import type { LogService } from '@paddlewind/ports';

/** The timers and awaited answers of one process; requests sent before a pause go their way. */
export interface Pausable {
  readonly schedule: Schedule;
  /** Resolves like `answer`, once the process is running. */
  hold<T>(answer: Promise<T>): Promise<T>;
  pause(): void;
  resume(): void;
}

/** Wraps the timers of a process. */
export function createPausable(schedule: Schedule): Pausable {
  let paused = false;
  const waiting: (() => void)[] = [];

  function whenRunning(task: () => void): void {
    if (paused) {
      waiting.push(task);
    } else {
      task();
    }
  }

  function hold<T>(answer: Promise<T>): Promise<T> {
    return answer.then(
      value =>
        new Promise(resolve => {
          whenRunning(() => {
            resolve(value);
          });
        }),
    );
  }

  return {
    schedule: (delay, task) => {
      let cancelled = false;
      const cancel = schedule(delay, () => {
        whenRunning(() => {
          if (!cancelled) {
            task();
          }
        });
      });
      return () => {
        cancelled = true;
        cancel();
      };
    },
    hold,
    pause: () => {
      paused = true;
    },
    resume: () => {
      paused = false;
      waiting.splice(0).forEach(task => {
        task();
      });
    },
  };
}

/** Returns `log` as a process that may be paused sees it. */
export function pausableLog(log: LogService, process: Pausable): LogService {
  return {
    append: (stream, payload) => process.hold(log.append(stream, payload)),
    read: req => process.hold(log.read(req)),
  };
}
