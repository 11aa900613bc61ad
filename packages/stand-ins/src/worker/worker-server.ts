/** Stand-in for the agent of a worker over HTTP. */
import type { Resources } from '@paddlewind/domain';
import { z } from 'zod';

import { noEvents, type EventSink } from '../events/events.js';
import {
  CONTROL_PATH,
  createFaultControl,
  handleControl,
  type FaultControl,
} from '../http/faults.js';
import {
  broken,
  json,
  parseBody,
  startJsonServer,
  type JsonRequest,
  type ListenOptions,
  type Listener,
  type Reply,
} from '../http/json-server.js';
import { sleep } from '../http/timers.js';
import type { TaskBehaviour } from './simulated-task.js';
import { createWorkerModel, type WorkerModel } from './worker-model.js';

/** Faults of a worker agent. */
export interface WorkerFaults extends TaskBehaviour {
  /** `refuse` answers 503, `reset` breaks the connection; neither takes effect. */
  readonly outage: 'none' | 'refuse' | 'reset';
  readonly slowMs: number;
  /** The next so many commands take effect but their answers are lost. */
  readonly loseAnswers: number;
  /** The next so many commands are carried out a second time after `duplicateAfterMs`. */
  readonly duplicate: number;
  readonly duplicateAfterMs: number;
}

/** Options of a worker agent. */
export interface WorkerServerOptions extends ListenOptions {
  readonly worker: string;
  readonly capacity: Resources;
  readonly faults?: Partial<WorkerFaults>;
  readonly onEvent?: EventSink;
}

/** A running worker agent. */
export interface WorkerServer extends Listener {
  readonly control: FaultControl<WorkerFaults>;
  /** Restarts the agent: its tasks end and its memory is gone. */
  readonly restart: () => void;
}

const NO_FAULTS: WorkerFaults = {
  outage: 'none',
  slowMs: 0,
  loseAnswers: 0,
  duplicate: 0,
  duplicateAfterMs: 50,
  lagMs: 1_000,
  usageFactor: 1,
  slowdown: 1,
  failEverything: false,
};

const count = z.int().nonnegative();
const amount = z.number().nonnegative();

const faultsSchema = z
  .strictObject({
    outage: z.enum(['none', 'refuse', 'reset']),
    slowMs: amount,
    loseAnswers: count,
    duplicate: count,
    duplicateAfterMs: amount,
    lagMs: amount,
    usageFactor: amount,
    slowdown: z.number().positive(),
    failEverything: z.boolean(),
  })
  .partial();

const fenceSchema = z.strictObject({
  shard: z.string(),
  epoch: count,
  offset: count,
});
const refShape = { task: z.string().min(1), attempt: count };
const refSchema = z.strictObject(refShape);
const specSchema = z.strictObject({
  ...refShape,
  job: z.string(),
  size: z.strictObject({ cpu: amount, memoryMiB: amount, accelerators: count }),
  command: z.array(z.string()),
  checkpoint: z.string().exactOptional(),
  leaseMs: z.number().positive(),
});

const commandSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('start'),
    fence: fenceSchema,
    spec: specSchema,
  }),
  z.strictObject({
    kind: z.literal('stop'),
    fence: fenceSchema,
    ref: refSchema,
    graceMs: amount,
  }),
  z.strictObject({
    kind: z.literal('checkpoint'),
    fence: fenceSchema,
    ref: refSchema,
  }),
  z.strictObject({
    kind: z.literal('throttle'),
    fence: fenceSchema,
    ref: refSchema,
    share: z.number().min(0).max(1),
  }),
]);

const syncSchema = z.strictObject({
  fence: fenceSchema,
  renew: z.array(refSchema),
  leaseMs: z.number().positive(),
  acknowledge: z.array(refSchema),
});

/** Starts a worker agent. */
export async function startWorkerServer(
  options: WorkerServerOptions,
): Promise<WorkerServer> {
  const control = createFaultControl({ ...NO_FAULTS, ...options.faults });
  const model = createWorkerModel({
    worker: options.worker,
    capacity: options.capacity,
    behaviour: control.faults,
    onEvent: options.onEvent ?? noEvents,
  });
  const listener = await startJsonServer(req => {
    if (req.url.pathname === CONTROL_PATH) {
      return handleControl(control, faultsSchema, req);
    }
    return answer(model, control, req);
  }, options);
  return {
    address: listener.address,
    control,
    restart: model.restart,
    async close() {
      await listener.close();
      model.close();
    },
  };
}

async function answer(
  model: WorkerModel,
  control: FaultControl<WorkerFaults>,
  req: JsonRequest,
): Promise<Reply> {
  const { slowMs, outage } = control.faults();
  await sleep(slowMs, req.signal);
  switch (outage) {
    case 'refuse':
      return json(503, { error: 'outage' });
    case 'reset':
      return broken();
    case 'none':
      return route(model, control, req);
  }
}

function route(
  model: WorkerModel,
  control: FaultControl<WorkerFaults>,
  req: JsonRequest,
): Reply {
  switch (`${req.method} ${req.url.pathname}`) {
    case 'POST /commands':
      return command(model, control, req);
    case 'POST /sync':
      return sync(model, req);
    case 'POST /restart':
      model.restart();
      return json(200, {});
    default:
      return json(404, { error: 'expected /commands, /sync or /restart' });
  }
}

function command(
  model: WorkerModel,
  control: FaultControl<WorkerFaults>,
  req: JsonRequest,
): Reply {
  const parsed = parseBody(commandSchema, req.body);
  if ('error' in parsed) {
    return json(400, { error: parsed.error });
  }
  const verdict = model.command(parsed.value);
  const { duplicate, duplicateAfterMs, loseAnswers } = control.faults();
  if (duplicate > 0) {
    control.set({ duplicate: duplicate - 1 });
    setTimeout(() => model.command(parsed.value), duplicateAfterMs).unref();
  }
  if (loseAnswers > 0) {
    control.set({ loseAnswers: loseAnswers - 1 });
    return broken();
  }
  return verdict === 'fenced'
    ? json(409, { error: 'a newer owner or decision was seen' })
    : json(200, {});
}

function sync(model: WorkerModel, req: JsonRequest): Reply {
  const parsed = parseBody(syncSchema, req.body);
  if ('error' in parsed) {
    return json(400, { error: parsed.error });
  }
  const report = model.sync(parsed.value);
  return report === 'fenced'
    ? json(409, { error: 'a newer owner was seen' })
    : json(200, report);
}
