/** Worker agents in memory, on a clock that tests control, with a record of what ran where. */
import {
  appError,
  type AppError,
  type Instant,
  type Millis,
} from '@paddlewind/domain';
import type { WorkerAgent } from '@paddlewind/ports';
import { Result } from 'true-myth';

import {
  createMemoryAgent,
  type MemoryAgent,
  type MemoryWorkerFaults,
} from './memory-agent.js';
import type { AttemptRun, TaskTime } from './memory-task.js';

/** The agents and the switches of their faults. */
export interface MemoryWorkers extends WorkerAgent {
  setFaults(worker: string, faults: Partial<MemoryWorkerFaults>): void;
  /** Ends every task of the worker and forgets all. */
  restart(worker: string): void;
  /** Since when the worker has been reachable without a restart; infinity while it is not. */
  reachableSince(worker: string): Instant;
  /** Every run so far, in the order of beginning. */
  readonly runs: readonly AttemptRun[];
  /** Calls `listener` before each run begins. */
  onBegin(listener: (run: AttemptRun) => void): void;
}

/** What the agents are created with. */
export interface MemoryWorkersOptions extends TaskTime {
  /** Time of a call there and back. */
  readonly delayMs: Millis;
  /** When an unanswered call is given up. */
  readonly timeoutMs: Millis;
}

/** Creates agents that answer at the address that is their worker's id. */
export function createMemoryWorkers(
  options: MemoryWorkersOptions,
): MemoryWorkers {
  const agents = new Map<string, MemoryAgent>();
  const runs: AttemptRun[] = [];
  const listeners: ((run: AttemptRun) => void)[] = [];
  const reachableSince = new Map<string, Instant>();

  function agentOf(worker: string): MemoryAgent {
    const known = agents.get(worker);
    if (known !== undefined) {
      return known;
    }
    const agent = createMemoryAgent(worker, options, run => {
      listeners.forEach(listener => {
        listener(run);
      });
      runs.push(run);
    });
    agents.set(worker, agent);
    return agent;
  }

  function wait(span: Millis): Promise<void> {
    return new Promise(resolve => {
      options.schedule(span, resolve);
    });
  }

  async function call<T>(
    worker: string,
    act: (agent: MemoryAgent) => Result<T, AppError>,
  ): Promise<Result<T, AppError>> {
    const agent = agentOf(worker);
    await wait(options.delayMs / 2);
    if (agent.faults.unreachable) {
      await wait(options.timeoutMs);
      return Result.err(unanswered(worker));
    }
    const result = act(agent);
    await wait(options.delayMs / 2);
    return takeLostAnswer(agent) ? Result.err(unanswered(worker)) : result;
  }

  return {
    runs,
    onBegin: listener => void listeners.push(listener),
    command: (address, command) =>
      call(address, agent => agent.command(command)),
    sync: (address, req) => call(address, agent => agent.sync(req)),
    setFaults: (worker, faults) => {
      const agent = agentOf(worker);
      if (faults.unreachable !== undefined) {
        const since = faults.unreachable ? Infinity : options.clock();
        reachableSince.set(worker, since);
      }
      agent.faults = { ...agent.faults, ...faults };
    },
    reachableSince: worker => reachableSince.get(worker) ?? 0,
    restart: worker => {
      const agent = agentOf(worker);
      agent.restart();
      const since = agent.faults.unreachable ? Infinity : options.clock();
      reachableSince.set(worker, since);
    },
  };
}

/** Tells whether the answer to a call is lost, and counts it. */
function takeLostAnswer(agent: MemoryAgent): boolean {
  const { loseAnswers, unreachable } = agent.faults;
  if (loseAnswers > 0) {
    agent.faults = { ...agent.faults, loseAnswers: loseAnswers - 1 };
  }
  return unreachable || loseAnswers > 0;
}

function unanswered(worker: string): AppError {
  return appError('backend_failed', `Worker ${worker} does not answer.`);
}
