/** Workers in memory behind a network that loses and delays orders. */
import {
  workerIdOf,
  type TaskSize,
  type WorkerInfo,
} from '@paddlewind/domain/jobs';
import type {
  PollResult,
  OrderResult,
  WorkerAddress,
  WorkerFeed,
  WorkerPort,
} from '@paddlewind/ports/jobs';

import { Gangs } from './gangs.js';
import type { JobHistory } from './job-history.js';
import type { SimulatedTime } from './memory-job-log.js';
import { MemoryWorker, type WorkerTraits } from './memory-worker.js';

/** Time of one way through the network, in milliseconds. */
const WAY_MS = 1;
/** Time after which an order is given up, in milliseconds. */
const TIMEOUT_MS = 500;
/** When an order that was held up arrives, in milliseconds. */
const LATE_FROM_MS = 2_000;
const LATE_SPAN_MS = 10_000;

/** All workers of a test. */
export class MemoryFleet {
  /** Share of the orders that are not answered and arrive late, at whatever life has the id by then. */
  delayedOrderShare = 0;
  /** The same for looks. */
  delayedPollShare = 0;
  /** Whether the registry can't be read. */
  registryUnavailable = false;
  /** Whether every start is rejected for want of room. */
  refusesStarts = false;
  /** Pairs `host>worker` that cannot reach each other. */
  readonly cuts = new Set<string>();
  /** Time by machine that answers to looks take on their way, in milliseconds; also beyond a timeout. */
  readonly pollDelays = new Map<string, number>();
  /** Time by machine that an order takes beyond the network, in milliseconds; below a timeout. */
  readonly orderDelays = new Map<string, number>();

  /** Told of each worker that a task has brought down. */
  onCrash: (machine: string, labels?: readonly string[]) => void = () =>
    undefined;

  /** Capacities that workers tell in place of what they began with, by life. */
  private readonly resized = new Map<string, TaskSize>();
  private readonly workers = new Map<string, MemoryWorker>();
  private readonly gangs: Gangs;
  private readonly leaving = new Set<string>();
  /** Entries that the registry tells in place of the present ones, by address. */
  private readonly heldEntries = new Map<string, WorkerInfo>();
  /** Present life by address. */
  private readonly lives = new Map<string, string>();

  /** Creates a fleet without workers. */
  constructor(
    private readonly time: SimulatedTime,
    private readonly history: JobHistory,
  ) {
    this.gangs = new Gangs(time);
  }

  /** Adds a worker whose address is that of its machine. */
  add(machine: string, traits: WorkerTraits): MemoryWorker {
    const { time, history, gangs } = this;
    const worker = new MemoryWorker(traits, time, history, gangs, order => {
      history.broughtDown(order, worker.life);
      this.crash(machine);
      this.onCrash(machine, traits.labels);
    });
    history.joined({ labels: [], ...traits, id: worker.life });
    this.workers.set(worker.life, worker);
    this.lives.set(machine, worker.life);
    return worker;
  }

  /** Ends the life at an address; another may be added there later. */
  crash(machine: string): void {
    const id = this.lives.get(machine);
    this.lives.delete(machine);
    this.workers.get(id ?? '')?.crash();
    this.history.gone(id ?? '');
  }

  /** Changes the capacity of the life at an address, which tells so and goes on running what it runs. */
  resize(machine: string, capacity: TaskSize): void {
    const id = this.lives.get(machine);
    if (id !== undefined) {
      this.resized.set(id, capacity);
      this.history.resized(id, capacity);
    }
  }

  /** Announces that the life at an address is about to end. */
  announceLeave(machine: string): void {
    const id = this.lives.get(machine) ?? '';
    this.leaving.add(id);
    this.history.announced(id);
  }

  /** Returns the worker that lives at an address. */
  at(machine: string): MemoryWorker | undefined {
    return this.workers.get(this.lives.get(machine) ?? '');
  }

  /** The registry of workers, as every host sees it. */
  feed(): WorkerFeed {
    return {
      refresh: () => {
        if (this.registryUnavailable) {
          return Promise.resolve({ kind: 'unavailable', reason: 'away' });
        }
        const workers = this.entries();
        const value = { workers, unreadable: [] };
        return Promise.resolve({ kind: 'value', value });
      },
    };
  }

  /** Makes the registry tell the present life at an address for `span`, whatever lives there. */
  freezeEntry(machine: string, span: number): void {
    const held = this.entries().find(({ address }) => address === machine);
    if (held !== undefined) {
      this.heldEntries.set(machine, held);
      this.time.schedule(span, () => this.heldEntries.delete(machine));
    }
  }

  private entries(): WorkerInfo[] {
    const found = new Map<string, WorkerInfo>();
    for (const [address, life] of this.lives) {
      const worker = this.workers.get(life);
      if (worker !== undefined) {
        const capacity = this.resized.get(life) ?? worker.traits.capacity;
        const traits = { ...worker.traits, capacity };
        const isLeaving = this.leaving.has(life);
        found.set(address, infoOf(life, address, traits, isLeaving));
      }
    }
    return [...new Map([...found, ...this.heldEntries]).values()];
  }

  /** The workers as `host` reaches them. */
  connect(host: string): WorkerPort {
    /** Workers that answered the last look of a link, by the incarnation that it is to. */
    const answered = new Map<string, MemoryWorker>();
    return {
      start: (to, order) =>
        this.order(host, to, worker =>
          this.refusesStarts
            ? { kind: 'rejected', why: 'no_room', clock: worker.clock }
            : worker.start(order),
        ),
      stop: (to, order) => this.order(host, to, worker => worker.stop(order)),
      throttle: (to, order) =>
        this.order(host, to, worker => ({
          kind: order.fence >= 0 ? 'accepted' : 'replaced',
          clock: worker.clock,
        })),
      poll: (to, order, takeLate) => {
        answered.delete(to.id);
        const found = this.look(host, to, async worker => {
          const res = await worker.poll(order);
          answered.set(to.id, worker);
          return res;
        });
        return this.inTime(found, order.waitMs + order.slackMs, takeLate);
      },
      isConnected: to => {
        const worker = answered.get(to.id);
        return worker !== undefined && worker === this.reach(host, to);
      },
      forget: () => undefined,
    };
  }

  private async order(
    host: string,
    to: WorkerAddress,
    carryOut: (worker: MemoryWorker) => OrderResult,
  ): Promise<OrderResult> {
    if (this.time.random() < this.delayedOrderShare) {
      const after = LATE_FROM_MS + this.time.random() * LATE_SPAN_MS;
      this.time.schedule(after, () => {
        const worker = this.at(to.address);
        if (worker !== undefined && isMeant(worker, to)) {
          this.history.heldUp(() => {
            carryOut(worker);
          });
        }
      });
      await this.pause(TIMEOUT_MS);
      return { kind: 'unknown', reason: 'timeout' };
    }
    await this.pause(WAY_MS);
    const worker = this.reach(host, to);
    if (worker === undefined) {
      await this.pause(TIMEOUT_MS);
      return { kind: 'unknown', reason: 'timeout' };
    }
    if (!isMeant(worker, to)) {
      return { kind: 'replaced' };
    }
    const result = carryOut(worker);
    await this.pause(WAY_MS + (this.orderDelays.get(to.address) ?? 0));
    if (this.reach(host, to) === undefined) {
      await this.pause(TIMEOUT_MS);
      return { kind: 'unknown', reason: 'timeout' };
    }
    return result;
  }

  private async look(
    host: string,
    to: WorkerAddress,
    carryOut: (worker: MemoryWorker) => Promise<PollResult>,
  ): Promise<PollResult> {
    if (
      this.delayedPollShare > 0 &&
      this.time.random() < this.delayedPollShare
    ) {
      this.lookLater(to, carryOut);
      await this.pause(TIMEOUT_MS);
      return { kind: 'failed', reason: 'timeout' };
    }
    await this.pause(WAY_MS);
    const worker = this.reach(host, to);
    if (worker === undefined) {
      await this.pause(TIMEOUT_MS);
      return { kind: 'failed', reason: 'timeout' };
    }
    if (!isMeant(worker, to)) {
      return { kind: 'replaced' };
    }
    const result = await carryOut(worker);
    await this.pause(WAY_MS + (this.pollDelays.get(to.address) ?? 0));
    if (this.reach(host, to) !== worker) {
      return { kind: 'failed', reason: 'connection lost' };
    }
    return result;
  }

  private lookLater(
    to: WorkerAddress,
    carryOut: (worker: MemoryWorker) => Promise<PollResult>,
  ): void {
    const after = LATE_FROM_MS + this.time.random() * LATE_SPAN_MS;
    this.time.schedule(after, () => {
      const worker = this.at(to.address);
      if (worker !== undefined && isMeant(worker, to)) {
        this.history.heldUp(() => {
          void carryOut(worker);
        });
      }
    });
  }

  /** Gives a look up after its time; what is answered later goes to `takeLate`. */
  private async inTime(
    found: Promise<PollResult>,
    timeoutMs: number,
    takeLate: (res: PollResult) => void,
  ): Promise<PollResult> {
    const gaveUp = this.pause(timeoutMs);
    const first = await Promise.race([found, gaveUp]);
    if (first !== undefined) {
      return first;
    }
    void found.then(res => {
      if (res.kind !== 'failed') {
        takeLate(res);
      }
    });
    return { kind: 'failed', reason: 'timeout' };
  }

  private reach(host: string, to: WorkerAddress): MemoryWorker | undefined {
    if (this.cuts.has(`${host}>${to.address}`)) {
      return undefined;
    }
    return this.at(to.address);
  }

  private pause(span: number): Promise<void> {
    return new Promise(resolve => {
      this.time.schedule(span, resolve);
    });
  }
}

/** Whether a worker takes a call for its own: a later life with the same id does, too. */
function isMeant({ traits }: MemoryWorker, { id }: WorkerAddress): boolean {
  return traits.id === workerIdOf(id);
}

function infoOf(
  id: string,
  address: string,
  traits: WorkerTraits,
  leaving: boolean,
): WorkerInfo {
  return {
    id,
    address,
    service: 'main',
    availabilityZone: 'a',
    rack: undefined,
    labels: traits.labels ?? [],
    capacity: traits.capacity,
    leaving,
  };
}
