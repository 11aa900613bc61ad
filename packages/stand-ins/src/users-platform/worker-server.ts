/** Test double of a worker of the platform: receives orders over HTTP and executes them in memory. */
import { parseTaskName, taskName } from '@paddlewind/domain/jobs';
import type { OrderResult, PollResult } from '@paddlewind/ports/jobs';

import type { Listener } from '../http/json-server.js';
import type { MemoryWorker } from '../jobs/memory-worker.js';
import {
  jsonReply,
  startRawServer,
  type RawReply,
  type RawRequest,
} from './http.js';

const REJECTION_REASONS = {
  fenced: 'fence',
  superseded: 'old',
  too_late: 'late',
  no_ticket: 'ticket',
  no_room: 'room',
} as const;

interface OrderBody {
  readonly task?: string;
  readonly runNumber?: number;
  readonly spec?: string;
  readonly untilMs?: number;
  readonly fencingToken?: number;
  readonly checkpoint?: string;
  readonly ackIndex?: number;
  readonly waitMs?: number;
}

/** Injected behavior of a worker towards all hosts; it runs on in each mode. */
export type WorkerMode = 'up' | 'silent' | 'losing';

/** Worker that is served over HTTP. */
export class WorkerServer {
  /** In mode `silent`, calls have no effect and no answer; in mode `losing`, an effect but no answer. */
  mode: WorkerMode = 'up';
  private listener: Listener | undefined;

  /** Creates a server for `worker`. */
  constructor(readonly worker: MemoryWorker) {}

  /** `ip:port`. */
  get address(): string {
    return this.listener?.address ?? '';
  }

  /** Starts listening; port 0 picks a free one. */
  async start(port = 0): Promise<void> {
    this.listener = await startRawServer(req => this.handle(req), port);
  }

  /** Stops listening and closes open connections. */
  async stop(): Promise<void> {
    await this.listener?.close();
  }

  /** Returns the worker's entry in the registry. */
  entry(service: string): unknown {
    const { capacity, startedAt } = this.worker.traits;
    return {
      born: startedAt,
      service,
      address: this.address,
      zone: 'a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      capacity: {
        cpu: capacity.cpuMilli,
        memMb: capacity.memoryMiB,
        gpu: capacity.accelerators,
      },
      labels: ['a', 'r1'],
    };
  }

  private async handle(req: RawRequest): Promise<RawReply | undefined> {
    if (this.mode === 'silent') {
      return undefined;
    }
    const reply = await this.answer(req);
    return this.isAnswering() ? reply : undefined;
  }

  /** Tells whether answers go out; the mode may have changed while a poll waited. */
  private isAnswering(): boolean {
    return this.mode === 'up';
  }

  private async answer(req: RawRequest): Promise<RawReply> {
    if (req.headers['expected-instance'] !== this.worker.traits.id) {
      return jsonReply(421, {});
    }
    const body = JSON.parse(req.body.toString()) as OrderBody;
    switch (req.url.pathname) {
      case '/v1/run-start':
        return orderReply(this.startRun(body));
      case '/v1/run-stop':
        return orderReply(this.worker.stop(runOf(body)));
      case '/v1/pace':
        return jsonReply(200, { clockMs: this.worker.clock });
      case '/v1/hold':
        return pollReply(await this.poll(body));
      default:
        return jsonReply(404, {});
    }
  }

  private startRun(body: OrderBody): OrderResult {
    return this.worker.start({
      ...runOf(body),
      payload: body.spec ?? '',
      leaseUntil: body.untilMs ?? 0,
      checkpoint: body.checkpoint ?? '',
      ticket: undefined,
    });
  }

  private poll(body: OrderBody): Promise<PollResult> {
    return this.worker.poll({
      fence: body.fencingToken ?? 0,
      acknowledged: body.ackIndex ?? 0,
      leaseUntil: body.untilMs,
      waitMs: body.waitMs ?? 0,
      slackMs: 0,
    });
  }
}

function runOf(body: OrderBody): {
  task: ReturnType<typeof parseTaskName>;
  run: number;
  fence: number;
} {
  return {
    task: parseTaskName(body.task ?? ''),
    run: body.runNumber ?? 0,
    fence: body.fencingToken ?? 0,
  };
}

function orderReply(result: OrderResult): RawReply {
  switch (result.kind) {
    case 'accepted':
      return jsonReply(200, { clockMs: result.clock });
    case 'rejected':
      return jsonReply(409, {
        clockMs: result.clock,
        reason: REJECTION_REASONS[result.why],
      });
    case 'replaced':
      return jsonReply(421, {});
    case 'not_run':
    case 'unknown':
      return jsonReply(503, {});
  }
}

function pollReply(result: PollResult): RawReply {
  switch (result.kind) {
    case 'seen':
      return jsonReply(200, {
        born: result.startedAt,
        clockMs: result.clock,
        active: result.active.map(run => [
          taskName(run.task),
          run.run,
          run.checkpoint,
          run.percent,
          run.reading,
        ]),
        finished: result.ended.map(run => [
          run.position,
          taskName(run.task),
          run.run,
          run.how,
          run.checkpoint,
        ]),
      });
    case 'fenced':
      return jsonReply(409, { reason: 'fence' });
    case 'replaced':
      return jsonReply(421, {});
    case 'failed':
      return jsonReply(503, {});
  }
}
