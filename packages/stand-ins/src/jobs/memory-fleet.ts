/** In-memory workers behind a network that loses and delays calls. */
import {
  workerIdOf,
  type TaskSize,
  type WorkerInfo,
} from '@paddlewind/domain/jobs';
import type {
  OrderResult,
  PollResult,
  WorkerAddress,
  WorkerFeed,
  WorkerPort,
} from '@paddlewind/ports/jobs';

import { Gangs } from './gangs.js';
import type { JobHistory } from './job-history.js';
import type { SimulatedTime } from './memory-job-log.js';
import { MemoryWorker, type WorkerTraits } from './memory-worker.js';

/** One-way network delay, in milliseconds. */
const ONE_WAY_DELAY_MS = 1;
/** Timeout of a call, in milliseconds. */
const CALL_TIMEOUT_MS = 500;
/** Minimum delay of a delayed call, in milliseconds. */
const MIN_DELAY_MS = 2_000;
/** Availability zone of workers that are not given one. */
const DEFAULT_ZONE = 'a';
/** Range of the random part of that delay, in milliseconds. */
const DELAY_SPAN_MS = 10_000;

/** Workers of a test, with injected faults; a worker's machine name is its address. */
export class MemoryFleet {
  /** Fraction of orders that are not answered and arrive late, at the incarnation that has the id by then. */
  delayedOrderShare = 0;
  /** Fraction of polls that are not answered and arrive late. */
  delayedPollShare = 0;
  /** Whether the registry is unavailable. */
  registryUnavailable = false;
  /** Whether every start is rejected for lack of capacity. */
  rejectsStarts = false;
  /** Broken network links, as `host>worker`. */
  readonly brokenLinks = new Set<string>();
  /** Delay of poll responses by machine, in milliseconds; may exceed the timeout. */
  readonly pollDelays = new Map<string, number>();
  /** Additional response time of orders by machine, in milliseconds; must be below the timeout. */
  readonly orderDelays = new Map<string, number>();

  /** Called for each worker that a task has crashed. */
  onCrash: (machine: string, labels?: readonly string[]) => void = () =>
    undefined;

  /** Changed capacities, by incarnation. */
  private readonly reportedCapacities = new Map<string, TaskSize>();
  private readonly workers = new Map<string, MemoryWorker>();
  private readonly gangs: Gangs;
  private readonly leaving = new Set<string>();
  /** Outdated entries that the registry returns instead of the current ones, by address. */
  private readonly frozenEntries = new Map<string, WorkerInfo>();
  /** Current incarnation by address. */
  private readonly incarnations = new Map<string, string>();

  /** Creates an empty fleet. */
  constructor(
    private readonly time: SimulatedTime,
    private readonly history: JobHistory,
  ) {
    this.gangs = new Gangs(time);
  }

  /** Adds a worker at the address `machine`. */
  add(machine: string, traits: WorkerTraits): MemoryWorker {
    const { time, history, gangs } = this;
    const worker = new MemoryWorker(traits, time, history, gangs, order => {
      history.recordWorkerCrash(order, worker.incarnation);
      this.crash(machine);
      this.onCrash(machine, traits.labels);
    });
    history.recordWorkerStart({
      labels: [],
      availabilityZone: DEFAULT_ZONE,
      ...traits,
      id: worker.incarnation,
    });
    this.workers.set(worker.incarnation, worker);
    this.incarnations.set(machine, worker.incarnation);
    return worker;
  }

  /** Ends the current incarnation at an address; another may be added there later. */
  crash(machine: string): void {
    const id = this.incarnations.get(machine);
    this.incarnations.delete(machine);
    this.workers.get(id ?? '')?.crash();
    this.history.recordWorkerEnd(id ?? '');
  }

  /** Changes the capacity that the worker at an address reports; its runs continue. */
  resize(machine: string, capacity: TaskSize): void {
    const id = this.incarnations.get(machine);
    if (id !== undefined) {
      this.reportedCapacities.set(id, capacity);
      this.history.recordCapacityChange(id, capacity);
    }
  }

  /** Marks the worker at an address as leaving. */
  announceLeave(machine: string): void {
    const id = this.incarnations.get(machine) ?? '';
    this.leaving.add(id);
    this.history.recordLeaving(id);
  }

  /** Returns the worker that currently runs at an address. */
  at(machine: string): MemoryWorker | undefined {
    return this.workers.get(this.incarnations.get(machine) ?? '');
  }

  /** Returns a feed of the registry of workers, which is the same for all hosts. */
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

  /** Freezes the registry entry of an address for `span` milliseconds. */
  freezeEntry(machine: string, span: number): void {
    const entry = this.entries().find(({ address }) => address === machine);
    if (entry !== undefined) {
      this.frozenEntries.set(machine, entry);
      this.time.schedule(span, () => this.frozenEntries.delete(machine));
    }
  }

  private entries(): WorkerInfo[] {
    const found = new Map<string, WorkerInfo>();
    for (const [address, incarnation] of this.incarnations) {
      const worker = this.workers.get(incarnation);
      if (worker !== undefined) {
        const capacity =
          this.reportedCapacities.get(incarnation) ?? worker.traits.capacity;
        const traits = { ...worker.traits, capacity };
        const isLeaving = this.leaving.has(incarnation);
        found.set(address, infoOf(incarnation, address, traits, isLeaving));
      }
    }
    return [...new Map([...found, ...this.frozenEntries]).values()];
  }

  /** Returns the port by which `host` calls the workers. */
  connect(host: string): WorkerPort {
    /** Workers that answered the last poll, by the incarnation that it was addressed to. */
    const answered = new Map<string, MemoryWorker>();
    return {
      start: (to, order) =>
        this.order(host, to, worker =>
          this.rejectsStarts
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
        const response = this.sendPoll(host, to, async worker => {
          const res = await worker.poll(order);
          answered.set(to.id, worker);
          return res;
        });
        return this.withTimeout(
          response,
          order.waitMs + order.slackMs,
          takeLate,
        );
      },
      isConnected: to => {
        const worker = answered.get(to.id);
        return (
          worker !== undefined && worker === this.reachableWorker(host, to)
        );
      },
      disconnect: () => undefined,
    };
  }

  private async order(
    host: string,
    to: WorkerAddress,
    execute: (worker: MemoryWorker) => OrderResult,
  ): Promise<OrderResult> {
    if (this.time.random() < this.delayedOrderShare) {
      const after = MIN_DELAY_MS + this.time.random() * DELAY_SPAN_MS;
      this.time.schedule(after, () => {
        const worker = this.at(to.address);
        if (worker !== undefined && isAddressedTo(worker, to)) {
          this.history.runDelayed(() => {
            execute(worker);
          });
        }
      });
      await this.pause(CALL_TIMEOUT_MS);
      return { kind: 'unknown', reason: 'timeout' };
    }
    await this.pause(ONE_WAY_DELAY_MS);
    const worker = this.reachableWorker(host, to);
    if (worker === undefined) {
      await this.pause(CALL_TIMEOUT_MS);
      return { kind: 'unknown', reason: 'timeout' };
    }
    if (!isAddressedTo(worker, to)) {
      return { kind: 'replaced' };
    }
    const result = execute(worker);
    await this.pause(
      ONE_WAY_DELAY_MS + (this.orderDelays.get(to.address) ?? 0),
    );
    if (this.reachableWorker(host, to) === undefined) {
      await this.pause(CALL_TIMEOUT_MS);
      return { kind: 'unknown', reason: 'timeout' };
    }
    return result;
  }

  private async sendPoll(
    host: string,
    to: WorkerAddress,
    execute: (worker: MemoryWorker) => Promise<PollResult>,
  ): Promise<PollResult> {
    if (
      this.delayedPollShare > 0 &&
      this.time.random() < this.delayedPollShare
    ) {
      this.pollLater(to, execute);
      await this.pause(CALL_TIMEOUT_MS);
      return { kind: 'failed', reason: 'timeout' };
    }
    await this.pause(ONE_WAY_DELAY_MS);
    const worker = this.reachableWorker(host, to);
    if (worker === undefined) {
      await this.pause(CALL_TIMEOUT_MS);
      return { kind: 'failed', reason: 'timeout' };
    }
    if (!isAddressedTo(worker, to)) {
      return { kind: 'replaced' };
    }
    const result = await execute(worker);
    await this.pause(ONE_WAY_DELAY_MS + (this.pollDelays.get(to.address) ?? 0));
    if (this.reachableWorker(host, to) !== worker) {
      return { kind: 'failed', reason: 'connection lost' };
    }
    return result;
  }

  private pollLater(
    to: WorkerAddress,
    execute: (worker: MemoryWorker) => Promise<PollResult>,
  ): void {
    const after = MIN_DELAY_MS + this.time.random() * DELAY_SPAN_MS;
    this.time.schedule(after, () => {
      const worker = this.at(to.address);
      if (worker !== undefined && isAddressedTo(worker, to)) {
        this.history.runDelayed(() => {
          void execute(worker);
        });
      }
    });
  }

  /** Fails a poll after its timeout; a later response is passed to `takeLate`. */
  private async withTimeout(
    response: Promise<PollResult>,
    timeoutMs: number,
    takeLate: (res: PollResult) => void,
  ): Promise<PollResult> {
    const timedOut = this.pause(timeoutMs);
    const first = await Promise.race([response, timedOut]);
    if (first !== undefined) {
      return first;
    }
    void response.then(res => {
      if (res.kind !== 'failed') {
        takeLate(res);
      }
    });
    return { kind: 'failed', reason: 'timeout' };
  }

  private reachableWorker(
    host: string,
    to: WorkerAddress,
  ): MemoryWorker | undefined {
    if (this.brokenLinks.has(`${host}>${to.address}`)) {
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

/** Returns whether a worker accepts a call to `id`; a later incarnation with the same worker id does, too. */
function isAddressedTo(
  { traits }: MemoryWorker,
  { id }: WorkerAddress,
): boolean {
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
    availabilityZone: traits.availabilityZone ?? DEFAULT_ZONE,
    rack: undefined,
    labels: traits.labels ?? [],
    capacity: traits.capacity,
    leaving,
    version: traits.version,
  };
}
