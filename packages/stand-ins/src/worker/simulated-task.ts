/** One attempt that a worker simulates: progress by timers, at a speed that throttling sets. */
import { NO_RESOURCES, type Resources } from '@paddlewind/domain';
import type { AttemptReport, StartSpec } from '@paddlewind/ports';

import type { AttemptEnd } from '../events/events.js';
import { startProgress } from './progress.js';
import {
  decodeCheckpoint,
  encodeCheckpoint,
  parseWorkload,
} from './workload.js';

/** How the tasks of a worker behave. */
export interface TaskBehaviour {
  /** Age of usage figures in milliseconds. */
  readonly lagMs: number;
  /** Use of a task as a multiple of its declared size. */
  readonly usageFactor: number;
  /** Run time as a multiple of what the command says. */
  readonly slowdown: number;
  readonly failEverything: boolean;
}

/** A simulated attempt. */
export interface SimulatedTask {
  readonly spec: StartSpec;
  readonly resumedAt: number;
  running(): boolean;
  progress(): number;
  /** Leases are counted from receipt, now. */
  renew(leaseMs: number): void;
  checkpoint(): void;
  throttle(share: number): void;
  /** Stops after the task's own clean-up, at most `graceMs`. */
  stop(graceMs: number): void;
  /** Ends it at once. */
  end(how: AttemptEnd): void;
  report(): AttemptReport;
}

/** Time that a task takes to clean up when asked to stop, in milliseconds. */
const CLEAN_UP_MS = 20;
/** Time after which a task fails on a worker that fails everything, in milliseconds. */
const FAIL_AFTER_MS = 50;
const END_STATES = {
  completed: 'completed',
  failed: 'failed',
  stopped: 'stopped',
  lease_lapsed: 'stopped',
  agent_restarted: 'stopped',
} as const;

/** Starts a simulated attempt; `ended` is called once. */
export function startTask(
  spec: StartSpec,
  behaviour: () => TaskBehaviour,
  ended: (task: SimulatedTask, end: AttemptEnd) => void,
): SimulatedTask {
  const workload = parseWorkload(spec.command);
  const resumedAt = decodeCheckpoint(spec.checkpoint);
  const startedAt = performance.now();
  const runMs = (): number => workload.runMs * behaviour().slowdown;
  const progress = startProgress(resumedAt, runMs);
  const timers = createTimers();
  let saved = spec.checkpoint;
  let stopping = false;
  let ending: AttemptEnd | undefined;

  function schedule(): void {
    const failing = behaviour().failEverything;
    const left = failing ? FAIL_AFTER_MS : progress.leftMs();
    timers.set('finish', left, () => {
      end(failing ? 'failed' : workload.end);
    });
  }

  function end(how: AttemptEnd): void {
    if (ending !== undefined) {
      return;
    }
    progress.halt();
    ending = how;
    timers.clear();
    ended(task, how);
  }

  function usage(): Resources {
    const visible = performance.now() - startedAt >= behaviour().lagMs;
    return visible && ending === undefined
      ? used(spec.size, behaviour().usageFactor, progress.share())
      : NO_RESOURCES;
  }

  const task: SimulatedTask = {
    spec,
    resumedAt,
    running: () => ending === undefined,
    progress: () => (ending === 'completed' ? 1 : progress.value()),
    renew(leaseMs) {
      timers.set('lapse', leaseMs, () => {
        end('lease_lapsed');
      });
    },
    checkpoint() {
      saved = encodeCheckpoint(progress.value());
    },
    throttle(share) {
      progress.setShare(share);
      if (ending === undefined) {
        schedule();
      }
    },
    stop(graceMs) {
      if (stopping || ending !== undefined) {
        return;
      }
      stopping = true;
      timers.set('clean_up', Math.min(graceMs, CLEAN_UP_MS), () => {
        end('stopped');
      });
    },
    end,
    report: () => ({
      task: spec.task,
      attempt: spec.attempt,
      job: spec.job,
      state: stateOf(ending, stopping),
      usage: usage(),
      progress: ending === 'completed' ? 1 : decodeCheckpoint(saved),
      ...(saved === undefined ? {} : { checkpoint: saved }),
      ...(ending === 'lease_lapsed' ? { message: 'The lease lapsed.' } : {}),
    }),
  };
  task.renew(spec.leaseMs);
  schedule();
  return task;
}

function stateOf(
  end: AttemptEnd | undefined,
  stopping: boolean,
): AttemptReport['state'] {
  if (end !== undefined) {
    return END_STATES[end];
  }
  return stopping ? 'stopping' : 'running';
}

interface Timers {
  /** Sets the timer of `name`, replacing an earlier one. */
  set(name: string, afterMs: number, run: () => void): void;
  clear(): void;
}

function createTimers(): Timers {
  const timers = new Map<string, NodeJS.Timeout>();
  return {
    set(name, afterMs, run) {
      clearTimeout(timers.get(name));
      timers.set(name, setTimeout(run, Math.ceil(afterMs)));
    },
    clear() {
      timers.forEach(timer => {
        clearTimeout(timer);
      });
    },
  };
}

function used(size: Resources, factor: number, share: number): Resources {
  return {
    cpu: size.cpu * factor * share,
    memoryMiB: size.memoryMiB * factor,
    accelerators: size.accelerators,
  };
}
