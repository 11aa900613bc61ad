/** One attempt at a worker in memory. */
import type { Clock, Instant, Schedule } from '@paddlewind/domain';
import type { AttemptRef, AttemptReport, StartSpec } from '@paddlewind/ports';

import {
  decodeCheckpoint,
  encodeCheckpoint,
  parseWorkload,
} from '../worker/workload.js';

/** One run of an attempt at a worker. */
export interface AttemptRun extends AttemptRef {
  readonly worker: string;
  readonly spec: StartSpec;
  readonly beganAt: Instant;
  endedAt: Instant | undefined;
  state: AttemptReport['state'];
}

/** Time on which tasks run. */
export interface TaskTime {
  readonly clock: Clock;
  readonly schedule: Schedule;
}

/** An attempt that a worker knows. */
export interface MemoryTask {
  readonly run: AttemptRun;
  renew(leaseMs: number): void;
  stop(): void;
  checkpoint(): void;
  end(state: AttemptReport['state']): void;
  /** An acknowledged attempt is reported no more but keeps its name, so that a late start has no effect. */
  acknowledge(): void;
  /** Undefined once acknowledged. */
  report(): AttemptReport | undefined;
}

const FAIL_AFTER_MS = 50;
const CLEAN_UP_MS = 20;

/** Begins an attempt; `failing` makes it fail soon whatever it is. */
export function beginTask(
  { clock, schedule }: TaskTime,
  run: AttemptRun,
  failing: boolean,
): MemoryTask {
  const { spec } = run;
  const workload = parseWorkload(spec.command);
  const resumedAt = decodeCheckpoint(spec.checkpoint);
  const runMs = failing ? FAIL_AFTER_MS : workload.runMs * (1 - resumedAt);
  const finishesAt = run.beganAt + runMs;
  let checkpoint = spec.checkpoint;
  let acknowledged = false;
  let stopsAt = Infinity;
  let leaseUntil = run.beganAt + spec.leaseMs;
  let cancel = watch();

  /** Ends the task at the earliest of its finish, its stop and the end of its lease. */
  function watch(): () => void {
    const at = Math.min(finishesAt, leaseUntil, stopsAt);
    return schedule(at - clock(), () => {
      const result = failing ? 'failed' : workload.end;
      end(at === finishesAt ? result : 'stopped');
    });
  }

  function end(state: AttemptReport['state']): void {
    if (run.endedAt === undefined) {
      cancel();
      run.endedAt = clock();
      run.state = state;
    }
  }

  function update(change: () => void): void {
    if (run.endedAt === undefined) {
      change();
      cancel();
      cancel = watch();
    }
  }

  return {
    run,
    end,
    renew: leaseMs => {
      update(() => {
        leaseUntil = clock() + leaseMs;
      });
    },
    stop: () => {
      update(() => {
        stopsAt = Math.min(stopsAt, clock() + CLEAN_UP_MS);
        run.state = 'stopping';
      });
    },
    checkpoint: () => {
      update(() => {
        const done = (clock() - run.beganAt) / Math.max(1, runMs);
        const progress = resumedAt + (1 - resumedAt) * Math.min(1, done);
        checkpoint = encodeCheckpoint(progress);
      });
    },
    acknowledge: () => {
      acknowledged ||= run.endedAt !== undefined;
    },
    report: () => (acknowledged ? undefined : reportOf(run, checkpoint)),
  };
}

/** Returns an attempt that was stopped before its start came. */
export function neverBegun(
  time: TaskTime,
  worker: string,
  ref: AttemptRef,
): MemoryTask {
  const spec: StartSpec = {
    ...ref,
    job: '',
    size: { cpu: 0, memoryMiB: 0, accelerators: 0 },
    command: [],
    leaseMs: 0,
  };
  const beganAt = time.clock();
  const run: AttemptRun = {
    ...ref,
    worker,
    spec,
    beganAt,
    endedAt: undefined,
    state: 'running',
  };
  const task = beginTask(time, run, false);
  task.end('stopped');
  return task;
}

function reportOf(
  { task, attempt, spec, state }: AttemptRun,
  checkpoint: string | undefined,
): AttemptReport {
  return {
    task,
    attempt,
    job: spec.job,
    state,
    usage: spec.size,
    progress: state === 'completed' ? 1 : decodeCheckpoint(checkpoint),
    ...(checkpoint === undefined ? {} : { checkpoint }),
  };
}
