/** What a worker agent does with commands, apart from how they arrive. */
import type { Resources } from '@paddlewind/domain';
import type {
  AgentCommand,
  AttemptRef,
  AttemptReport,
  Fence,
  StartSpec,
  SyncRequest,
  WorkerReport,
} from '@paddlewind/ports';

import type { AttemptEnd, EventSink } from '../events/events.js';
import { createFences } from './fences.js';
import {
  startTask,
  type SimulatedTask,
  type TaskBehaviour,
} from './simulated-task.js';

/** What a command led to; `fenced` is refused as older than one seen. */
export type CommandVerdict = 'done' | 'fenced';

/** A worker with its tasks. */
export interface WorkerModel {
  readonly command: (command: AgentCommand) => CommandVerdict;
  readonly sync: (req: SyncRequest) => WorkerReport | 'fenced';
  /** Ends every task and forgets all, as a restart of the agent does. */
  readonly restart: () => void;
  /** Ends every task without reports. */
  readonly close: () => void;
}

/** Options of a worker. */
export interface WorkerModelOptions {
  readonly worker: string;
  readonly capacity: Resources;
  readonly behaviour: () => TaskBehaviour;
  readonly onEvent: EventSink;
}

/** Creates a worker without tasks. */
export function createWorkerModel(options: WorkerModelOptions): WorkerModel {
  let boot = createBoot(options);
  return {
    command: command => boot.command(command),
    sync: req => boot.sync(req),
    restart() {
      boot.endAll();
      boot = createBoot(options);
    },
    close() {
      boot.endAll();
    },
  };
}

type Boot = Pick<WorkerModel, 'command' | 'sync'> & {
  readonly endAll: () => void;
};

let boots = 0;

/** One run of the agent, with the memory that a restart loses. */
function createBoot(options: WorkerModelOptions): Boot {
  const { worker, onEvent } = options;
  boots += 1;
  const boot = `${process.pid}.${boots}.${Date.now()}`;
  const fences = createFences();
  const attempts = createAttempts(options, boot);
  onEvent({ type: 'worker_up', worker, boot, capacity: options.capacity });

  return {
    command(command) {
      const ref = command.kind === 'start' ? command.spec : command.ref;
      if (!fences.admit(command.fence, ref)) {
        return 'fenced';
      }
      switch (command.kind) {
        case 'start':
          attempts.start(command.spec, command.fence);
          break;
        case 'stop':
          attempts.stop(command.ref, command.graceMs);
          break;
        case 'checkpoint':
          attempts.find(ref)?.checkpoint();
          break;
        case 'throttle':
          attempts.find(ref)?.throttle(command.share);
          break;
      }
      return 'done';
    },
    sync(req) {
      if (!fences.admit(req.fence)) {
        return 'fenced';
      }
      for (const ref of req.renew) {
        const task = attempts.find(ref);
        if (task?.running() === true) {
          task.renew(req.leaseMs);
        }
      }
      req.acknowledge.forEach(attempts.acknowledge);
      const { lagMs } = options.behaviour();
      return { worker, boot, attempts: attempts.reports(), lagMs };
    },
    endAll: attempts.endAll,
  };
}

interface Attempts {
  readonly start: (spec: StartSpec, fence: Fence) => void;
  readonly stop: (ref: AttemptRef, graceMs: number) => void;
  readonly find: (ref: AttemptRef) => SimulatedTask | undefined;
  /** Forgets an ended attempt but for its name, so that a late start has no effect. */
  readonly acknowledge: (ref: AttemptRef) => void;
  readonly reports: () => AttemptReport[];
  readonly endAll: () => void;
}

function createAttempts(options: WorkerModelOptions, boot: string): Attempts {
  const { worker, onEvent } = options;
  const tasks = new Map<string, SimulatedTask>();
  /** Stopped before their start came. */
  const neverStarted = new Map<string, AttemptReport>();
  const acknowledged = new Set<string>();

  function ended(simulated: SimulatedTask, end: AttemptEnd): void {
    const { task, attempt } = simulated.spec;
    const ref = { worker, boot, task, attempt };
    const progress = simulated.progress();
    onEvent({ type: 'task_ended', ...ref, end, progress });
  }

  return {
    start(spec, fence) {
      const key = keyOf(spec);
      if (tasks.has(key) || neverStarted.has(key) || acknowledged.has(key)) {
        return;
      }
      const started = startTask(spec, options.behaviour, ended);
      tasks.set(key, started);
      const { job, task, attempt, size } = spec;
      const { resumedAt } = started;
      const { shard, epoch } = fence;
      const what = { worker, boot, job, task, attempt, size, resumedAt };
      onEvent({ type: 'task_began', ...what, shard, epoch });
    },
    stop(ref, graceMs) {
      const key = keyOf(ref);
      const task = tasks.get(key);
      if (task !== undefined) {
        task.stop(graceMs);
      } else if (!acknowledged.has(key)) {
        neverStarted.set(key, neverStartedReport(ref));
      }
    },
    find: ref => tasks.get(keyOf(ref)),
    acknowledge(ref) {
      const key = keyOf(ref);
      if (tasks.get(key)?.running() !== true) {
        tasks.delete(key);
        neverStarted.delete(key);
        acknowledged.add(key);
      }
    },
    reports: () => [
      ...[...tasks.values()].map(task => task.report()),
      ...neverStarted.values(),
    ],
    endAll() {
      tasks.forEach(task => {
        task.end('agent_restarted');
      });
    },
  };
}

function keyOf(ref: AttemptRef): string {
  return `${ref.task}#${ref.attempt}`;
}

function neverStartedReport(ref: AttemptRef): AttemptReport {
  return {
    task: ref.task,
    attempt: ref.attempt,
    job: '',
    state: 'stopped',
    usage: { cpu: 0, memoryMiB: 0, accelerators: 0 },
    progress: 0,
    message: 'It was stopped before it started.',
  };
}
