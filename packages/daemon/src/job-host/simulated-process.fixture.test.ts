/**
 * A simulated host process in virtual time: it can be killed, frozen, suspended with its machine,
 * or slowed down.
 */
import type { Instant, Millis } from '@paddlewind/domain';
import type { VirtualTime } from '@paddlewind/stand-ins';

/** Backlog of events from which the process counts as saturated. */
const SATURATED_MS: Millis = 50;

/** Runs the events of a host: timers, results of its calls and callbacks. */
export class SimulatedProcess {
  private killed = false;
  private frozenUntil: Instant = 0;
  /** Time that its monotonic clock has not counted. */
  private suspendedMs: Millis = 0;
  /** Processing time of each event. */
  private eventMs: Millis = 0;
  /** When it will have processed all events so far. */
  private busyUntil: Instant = 0;

  private saturated = false;
  /** Number of timers that were set so far and not cancelled. */
  timers = 0;

  /** Creates a running process. */
  constructor(private readonly time: VirtualTime) {}

  /** Whether it has not been killed. */
  get alive(): boolean {
    return !this.killed;
  }

  /** Whether it is currently frozen. */
  get isStopped(): boolean {
    return this.frozenUntil > this.time.clock();
  }

  /** Its monotonic clock. */
  readonly clock = (): Instant => this.time.clock() - this.suspendedMs;

  /** Runs `task` after `delay` on its monotonic clock. */
  readonly schedule = (delay: Millis, task: () => void): (() => void) => {
    this.timers += 1;
    let isOpen = true;
    const cancel = this.scheduleAt(this.clock() + delay, () => {
      isOpen = false;
      task();
    });
    return () => {
      this.timers -= Number(isOpen);
      isOpen = false;
      cancel();
    };
  };

  /** Kills the process. */
  kill(): void {
    this.killed = true;
  }

  /** Freezes the process for `span`. */
  freeze(span: Millis): void {
    this.frozenUntil = this.time.clock() + span;
  }

  /** Freezes the process for `span`, which its monotonic clock and its timers don't count. */
  suspend(span: Millis): void {
    this.freeze(span);
    this.suspendedMs += span;
  }

  /** Makes it take `eventMs` for each event, one after the other. */
  slow(eventMs: Millis): void {
    this.eventMs = eventMs;
  }

  /** Whether it has more events to process than it can at once. */
  get isSaturated(): boolean {
    return this.saturated || this.busyUntil - this.time.clock() > SATURATED_MS;
  }

  /** Makes it count as saturated whatever it does, or only by its backlog. */
  saturate(isSaturated: boolean): void {
    this.saturated = isSaturated;
  }

  /** Returns a port whose results and callbacks are delivered only while the process runs. */
  guard<T extends object>(port: T): T {
    return new Proxy(port, {
      get: (target, name, receiver) => {
        const call: unknown = Reflect.get(target, name, receiver);
        if (typeof call !== 'function') {
          return call;
        }
        return (...args: unknown[]): unknown => {
          const guarded = args.map(arg => this.guardCallback(arg));
          const result: unknown = Reflect.apply(call, target, guarded);
          return result instanceof Promise ? this.deliver(result) : result;
        };
      },
    });
  }

  private guardCallback(arg: unknown): unknown {
    if (typeof arg === 'function') {
      return (...results: unknown[]): void => {
        this.run(() => {
          Reflect.apply(arg, undefined, results);
        });
      };
    }
    return isPlain(arg) && Object.values(arg).some(isFunction)
      ? Object.fromEntries(
          Object.entries(arg).map(([name, value]) => [
            name,
            this.guardCallback(value),
          ]),
        )
      : arg;
  }

  private deliver<R>(result: Promise<R>): Promise<R> {
    return new Promise(resolve => {
      void result.then(value => {
        this.run(() => {
          resolve(value);
        });
      });
    });
  }

  private scheduleAt(dueAt: Instant, task: () => void): () => void {
    const left = Math.max(0, dueAt - this.clock());
    let cancel = this.time.schedule(left, () => {
      this.run(() => {
        if (this.clock() < dueAt) {
          cancel = this.scheduleAt(dueAt, task);
        } else {
          task();
        }
      });
    });
    return () => {
      cancel();
    };
  }

  private run(task: () => void): void {
    if (this.killed) {
      return;
    }
    const now = this.time.clock();
    if (this.isStopped) {
      this.time.schedule(this.frozenUntil - now, () => {
        this.run(task);
      });
      return;
    }
    if (this.eventMs === 0) {
      task();
      return;
    }
    this.busyUntil = Math.max(now, this.busyUntil) + this.eventMs;
    this.time.schedule(this.busyUntil - now, () => {
      if (!this.killed) {
        task();
      }
    });
  }
}

function isFunction(value: unknown): boolean {
  return typeof value === 'function';
}

function isPlain(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === 'object' &&
    value !== null &&
    Object.getPrototypeOf(value) === Object.prototype
  );
}
