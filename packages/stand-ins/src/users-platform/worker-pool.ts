/** Workers of a deployment that crash, come back and lose their entries in the registry. */
import type { Random } from '@paddlewind/domain';

import { scheduleByTimeout } from '../http/schedule.js';
import type { JobHistory } from '../jobs/job-history.js';
import { MemoryWorker } from '../jobs/memory-worker.js';
import { MAX_LEASE_MS, ONE_QUEUE } from './deployment.js';
import type { StoreServer } from './store-server.js';
import { WorkerServer } from './worker-server.js';

/** What clients of a crashed worker see until another one has its address: a refused connection, or nothing. */
export type CrashKind = 'refusing' | 'silent';

/** A crash of a worker. */
export interface CrashOptions {
  readonly kind: CrashKind;
  /** Time until another worker starts in its place, in milliseconds. */
  readonly backAfterMs: number;
  /** Whether that worker has the same address. */
  readonly sameAddress: boolean;
}

/** A worker that crashed, at `at` by the history's clock. */
export interface WorkerCrash {
  readonly at: number;
  readonly cause: 'fault' | 'task';
}

/** Dependencies of a pool. */
export interface WorkerPoolOptions {
  readonly store: StoreServer;
  readonly history: JobHistory;
  readonly random: Random;
}

const REGISTRY = 'keyed.servers';
/** Silence after which the platform removes an entry: three heartbeat intervals, in milliseconds. */
export const ENTRY_EXPIRY_MS = 3_300;
/** Time within which expired entries are back after an outage of the store, in milliseconds. */
const ENTRY_RETURN_MS = 1_900;
/** Time until a worker that a task crashed is replaced, in milliseconds. */
const TASK_CRASH_BACK_MS = 2_000;
const CAPACITY = { cpuMilli: 4_000, memoryMiB: 8_000, accelerators: 0 };
const ID_RANGE = 2 ** 32;

/** Workers of one service; each life of a worker has an id of its own. */
export class WorkerPool {
  /** Workers that crashed, by id. */
  readonly crashes = new Map<string, WorkerCrash>();

  private readonly servers = new Map<string, WorkerServer>();
  /** Workers that have an entry in the registry. */
  private readonly listed = new Set<string>();
  /** Workers that live on and whose entries never come back. */
  private readonly forgotten = new Set<string>();
  private readonly timers = new Set<() => void>();
  private closed = false;

  /** Creates an empty pool. */
  constructor(private readonly options: WorkerPoolOptions) {}

  /** Ids of the workers that are up, in the order of their starts. */
  get ids(): string[] {
    return [...this.servers.keys()];
  }

  /** Returns a worker that is up. */
  server(id: string): WorkerServer | undefined {
    return this.servers.get(id);
  }

  /** Starts a worker at a port; 0 picks a free one. */
  async add(port = 0): Promise<void> {
    const { history, random } = this.options;
    const id = `i-${Math.floor(random() * ID_RANGE).toString(16)}`;
    const clock = (): number => performance.now();
    const time = { clock, schedule: scheduleByTimeout, random };
    const traits = {
      id,
      capacity: CAPACITY,
      maxLeaseMs: MAX_LEASE_MS,
      clockRate: 1,
      clockOffset: Math.floor(random() * ID_RANGE),
    };
    const worker = new MemoryWorker(traits, time, history, undefined, order => {
      history.recordWorkerCrash(order, worker.incarnation);
      const options = { backAfterMs: TASK_CRASH_BACK_MS, sameAddress: true };
      this.crash(id, { kind: 'refusing', ...options }, 'task');
    });
    history.recordWorkerStart({ ...traits, labels: [], availabilityZone: 'a' });
    const server = new WorkerServer(worker);
    await server.start(port);
    this.servers.set(id, server);
    this.list(id);
  }

  /** Ends a worker at once; another one takes its place later. */
  crash(
    id: string,
    { kind, backAfterMs, sameAddress }: CrashOptions,
    cause: WorkerCrash['cause'] = 'fault',
  ): void {
    const server = this.servers.get(id);
    if (server === undefined || this.closed) {
      return;
    }
    const { history } = this.options;
    this.servers.delete(id);
    this.crashes.set(id, { at: performance.now(), cause });
    server.mode = 'silent';
    server.worker.crash();
    history.recordWorkerEnd(server.worker.incarnation);
    const port = Number(server.address.split(':')[1]);
    const stopped = kind === 'refusing' ? server.stop() : undefined;
    this.after(ENTRY_EXPIRY_MS, () => {
      this.expire(id);
    });
    this.after(backAfterMs, () => {
      void (stopped ?? server.stop()).then(() =>
        this.add(sameAddress ? port : 0),
      );
    });
  }

  /** Removes the entry of a worker, which is back when the store has returned. */
  expire(id: string): void {
    if (this.listed.delete(id)) {
      this.options.store.delete(REGISTRY, id);
    }
  }

  /** Removes the entry of a worker that lives on, for ever. */
  forget(id: string): void {
    this.forgotten.add(id);
    this.expire(id);
  }

  /** To be called when the store has returned: workers write their missing entries again. */
  relist(): void {
    const { random } = this.options;
    for (const id of this.ids.filter(missing => !this.listed.has(missing))) {
      this.after(random() * ENTRY_RETURN_MS, () => {
        this.list(id);
      });
    }
  }

  /** Publishes the configuration. */
  publishConfig(): void {
    this.options.store.put('keyed.op', 'config', ONE_QUEUE);
  }

  /** Ends all workers. */
  async close(): Promise<void> {
    this.closed = true;
    this.timers.forEach(cancel => {
      cancel();
    });
    const servers = [...this.servers.values()];
    servers.forEach(({ worker }) => {
      worker.crash();
    });
    await Promise.all(servers.map(server => server.stop()));
  }

  /** Writes the entry of a worker unless the store is down. */
  private list(id: string): void {
    const { store } = this.options;
    const server = this.servers.get(id);
    const isDown = store.mode === 'refusing' || store.mode === 'silent';
    if (server === undefined || isDown || this.forgotten.has(id)) {
      return;
    }
    this.listed.add(id);
    store.put(REGISTRY, id, server.entry('main'));
  }

  private after(ms: number, task: () => void): void {
    const cancel = scheduleByTimeout(ms, () => {
      this.timers.delete(cancel);
      task();
    });
    this.timers.add(cancel);
  }
}
