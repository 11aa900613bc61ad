/** The agent of one worker in memory. */
import { appError, type AppError } from '@paddlewind/domain';
import type {
  AgentCommand,
  AttemptRef,
  StartSpec,
  SyncRequest,
  WorkerReport,
} from '@paddlewind/ports';
import { Result } from 'true-myth';

import { createFences } from '../worker/fences.js';
import {
  beginTask,
  neverBegun,
  type AttemptRun,
  type MemoryTask,
  type TaskTime,
} from './memory-task.js';

/** How a worker's calls fare; unreachable calls go unanswered until their timeout. */
export interface MemoryWorkerFaults {
  readonly unreachable: boolean;
  /** The next so many commands take effect but their answers are lost. */
  readonly loseAnswers: number;
  readonly failEverything: boolean;
}

/** An agent and its tasks. */
export interface MemoryAgent {
  faults: MemoryWorkerFaults;
  command(command: AgentCommand): Result<void, AppError>;
  sync(req: SyncRequest): Result<WorkerReport, AppError>;
  /** Ends every task and forgets all. */
  restart(): void;
}

/** Creates an agent; `began` is called as a run begins. */
export function createMemoryAgent(
  worker: string,
  time: TaskTime,
  began: (run: AttemptRun) => void,
): MemoryAgent {
  let boot = 0;
  let fences = createFences();
  let tasks = new Map<string, MemoryTask>();
  const agent: MemoryAgent = {
    faults: { unreachable: false, loseAnswers: 0, failEverything: false },
    command,
    sync,
    restart: () => {
      tasks.forEach(task => {
        task.end('stopped');
      });
      boot++;
      fences = createFences();
      tasks = new Map();
    },
  };

  function command(cmd: AgentCommand): Result<void, AppError> {
    const ref = cmd.kind === 'start' ? cmd.spec : cmd.ref;
    if (!fences.admit(cmd.fence, ref)) {
      return Result.err(refused());
    }
    const task = tasks.get(keyOf(ref));
    switch (cmd.kind) {
      case 'start':
        if (task === undefined) {
          begin(cmd.spec);
        }
        break;
      case 'stop':
        if (task === undefined) {
          tasks.set(keyOf(ref), neverBegun(time, worker, ref));
        }
        task?.stop();
        break;
      case 'checkpoint':
        task?.checkpoint();
        break;
      case 'throttle':
        break;
    }
    return Result.ok(undefined);
  }

  function begin(spec: StartSpec): void {
    const { task, attempt } = spec;
    const beganAt = time.clock();
    const run: AttemptRun = {
      task,
      attempt,
      worker,
      spec,
      beganAt,
      endedAt: undefined,
      state: 'running',
    };
    began(run);
    tasks.set(keyOf(spec), beginTask(time, run, agent.faults.failEverything));
  }

  function sync(req: SyncRequest): Result<WorkerReport, AppError> {
    if (!fences.admit(req.fence)) {
      return Result.err(refused());
    }
    req.renew.forEach(ref => tasks.get(keyOf(ref))?.renew(req.leaseMs));
    req.acknowledge.forEach(ref => tasks.get(keyOf(ref))?.acknowledge());
    const attempts = [...tasks.values()].flatMap(task => task.report() ?? []);
    return Result.ok({ worker, boot: `boot-${boot}`, attempts, lagMs: 0 });
  }

  return agent;
}

function refused(): AppError {
  return appError('conflict', 'A newer fence was seen.');
}

function keyOf(ref: AttemptRef): string {
  return `${ref.task}#${ref.attempt}`;
}
