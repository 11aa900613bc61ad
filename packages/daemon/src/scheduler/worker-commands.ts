/** Sends the commands of one shard owner to the agents, each under its decision's fence. */
import type { AppError, Instant, Millis } from '@paddlewind/domain';
import type {
  AgentCommand,
  AttemptRef,
  Fence,
  WorkerAgent,
} from '@paddlewind/ports';

import type { PartContext } from '../parts.js';
import type { PlacedAttempt } from './reconcile.js';
import type { TaskTiming } from './types.js';
import { attemptKey, type SentStart, type WorkerLink } from './worker-link.js';

/** What the commands are sent with. */
export interface CommandParts {
  readonly ctx: PartContext;
  readonly agent: WorkerAgent;
  readonly timing: TaskTiming;
  /** Address of a worker; undefined when it is not listed. */
  readonly addressOf: (worker: string) => string | undefined;
  readonly fenceOf: (task: string) => Fence;
  /** Whether this process may command at this instant. */
  readonly mayCommand: () => boolean;
  /** Whether it may throttle, which needs no record. */
  readonly mayThrottle: () => boolean;
  /** Told how long an acknowledged start took. */
  readonly started: (span: Millis) => void;
  readonly refused: (err: AppError) => void;
}

/** Commands to the workers of one shard. */
export interface WorkerCommands {
  start(link: WorkerLink, placed: PlacedAttempt): Promise<void>;
  stop(link: WorkerLink, ref: AttemptRef, checkpoint: boolean): Promise<void>;
  /** Resolves to whether the agent took the command. */
  throttle(worker: string, ref: AttemptRef, share: number): Promise<boolean>;
}

/** Creates the commands of a shard owner. */
export function createWorkerCommands(parts: CommandParts): WorkerCommands {
  const { ctx, agent, timing } = parts;

  async function send(worker: string, command: AgentCommand): Promise<boolean> {
    const address = parts.addressOf(worker);
    const allowed =
      command.kind === 'throttle' ? parts.mayThrottle() : parts.mayCommand();
    if (address === undefined || !allowed) {
      return false;
    }
    const result = await agent.command(address, command);
    if (result.isErr) {
      const { kind } = command;
      ctx.log.warn({ worker, kind, err: result.error }, 'scheduler: no answer');
      parts.refused(result.error);
    }
    return result.isOk;
  }

  async function start(link: WorkerLink, placed: PlacedAttempt): Promise<void> {
    const sent = beginStart(link, placed.ref);
    if (sent === undefined || !parts.mayCommand()) {
      return;
    }
    const sentAt = ctx.clock();
    sent.inFlight = true;
    link.renewSentAt = Math.max(link.renewSentAt, sentAt);
    const { ref, job, size, checkpoint } = placed;
    const started = await send(link.worker, {
      kind: 'start',
      fence: parts.fenceOf(ref.task),
      spec: {
        ...ref,
        job: job.name,
        size,
        command: job.command,
        leaseMs: timing.leaseMs,
        ...(checkpoint === undefined ? {} : { checkpoint }),
      },
    });
    settle(sent, started, ctx.clock());
    if (started) {
      parts.started(ctx.clock() - sentAt);
    }
  }

  async function stop(
    link: WorkerLink,
    ref: AttemptRef,
    checkpoint: boolean,
  ): Promise<void> {
    const fence = parts.fenceOf(ref.task);
    if (checkpoint) {
      await send(link.worker, { kind: 'checkpoint', fence, ref });
    }
    const graceMs = timing.stopGraceMs;
    await send(link.worker, { kind: 'stop', fence, ref, graceMs });
  }

  function throttle(
    worker: string,
    ref: AttemptRef,
    share: number,
  ): Promise<boolean> {
    const fence = parts.fenceOf(ref.task);
    return send(worker, { kind: 'throttle', fence, ref, share });
  }

  return { start, stop, throttle };
}

/** Notes a start that is about to be sent; undefined while one is under way or confirmed. */
function beginStart(link: WorkerLink, ref: AttemptRef): SentStart | undefined {
  const key = attemptKey(ref);
  const known = link.starts.get(key);
  if (known?.inFlight === true || known?.confirmedAt !== undefined) {
    return undefined;
  }
  const sent = known ?? {
    boot: link.report?.boot,
    confirmedAt: undefined,
    inFlight: false,
  };
  link.starts.set(key, sent);
  return sent;
}

function settle(sent: SentStart, started: boolean, now: Instant): void {
  sent.inFlight = false;
  if (started) {
    sent.confirmedAt ??= now;
  } else {
    sent.givenUpAt = now;
  }
}
