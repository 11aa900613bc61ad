/**
 * Stand-in of a worker (PROTOCOL.md, "Running tasks"): fencing tokens, leases, a list of active runs and of ends.
 *
 * The `spec` of a job is JSON: `runMs` is how long its tasks run; tasks with `lasting` run until they are stopped,
 * tasks with `waits` until `release`.
 */
import { randomBytes } from 'node:crypto';

import { serve } from './http.mjs';
import { sleep } from './record.mjs';

const MAX_LISTED_ENDS = 500;
const STOP_MS = 100;
const STARTUP_MS = 300;
const MAX_POLL_WAIT_MS = 2_000;

export class Worker {
  /** Returns true if an order is not answered, and executed `runAfterMs` later: `{ runAfterMs }`. */
  lateOrder = () => undefined;
  /** Whether calls are neither executed nor answered. */
  cutOff = false;

  constructor(
    name,
    {
      record,
      store,
      holdMaxMs,
      cpu = 16_000,
      beatMs = 1_500,
      onStart = () => undefined,
      onEnd = () => undefined,
      onAcknowledged = () => undefined,
    },
  ) {
    this.name = name;
    this.id = `i-${randomBytes(4).toString('hex')}`;
    this.record = record;
    this.store = store;
    this.holdMaxMs = holdMaxMs;
    this.cpu = cpu;
    this.beatMs = beatMs;
    this.onStart = onStart;
    this.onEnd = onEnd;
    this.onAcknowledged = onAcknowledged;
    this.fence = 0;
    this.active = new Map();
    this.highest = new Map();
    this.ends = [];
    this.nextEnd = 1;
    this.lapsesAtEnd = new Map();
    this.leaseEnd = 0;
    /** How often the lease has lapsed, also while nothing ran. */
    this.lapses = 0;
    this.holdsLease = false;
    this.beats = 0;
    this.waiting = [];
    this.bornAt = performance.now() - 1_000;
  }

  async start() {
    this.listener = await serve(req => this.handle(req));
    this.beat();
    this.beating = setInterval(() => {
      this.beat();
    }, this.beatMs);
    this.leasing = setInterval(() => {
      this.checkLease();
    }, 20);
  }

  stop() {
    clearInterval(this.beating);
    clearInterval(this.leasing);
    this.listener.close();
  }

  clock() {
    return Math.floor(performance.now() - this.bornAt);
  }

  beat() {
    this.beats += 1;
    this.store.put('keyed.servers', this.id, {
      service: 'main',
      address: this.listener.address,
      zone: 'a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      capacity: { cpu: this.cpu, memMb: 64_000, gpu: 0 },
      labels: ['a', 'r1-1'],
      clockMs: this.clock(),
      sequence: this.beats,
    });
  }

  async handle(req) {
    if (this.cutOff) {
      return undefined;
    }
    if (req.headers['expected-instance'] !== this.id) {
      return { status: 421, body: {} };
    }
    const order = JSON.parse(req.body.toString());
    const { pathname } = req.url;
    const late = this.lateOrder(pathname, order);
    if (late !== undefined) {
      await sleep(late.runAfterMs);
      await this.execute(pathname, order);
      return undefined;
    }
    return this.execute(pathname, order);
  }

  async execute(pathname, order) {
    if ((order.fencingToken ?? 0) < this.fence) {
      return this.rejection('fence');
    }
    this.fence = order.fencingToken ?? 0;
    switch (pathname) {
      case '/v1/run-start':
        return this.startRun(order);
      case '/v1/run-stop':
        return this.stopRun(order);
      case '/v1/hold':
        return this.hold(order);
      case '/v1/pace':
        return { status: 200, body: { clockMs: this.clock() } };
      default:
        return { status: 404, body: {} };
    }
  }

  rejection(reason) {
    return { status: 409, body: { clockMs: this.clock(), reason } };
  }

  accepted() {
    return { status: 200, body: { clockMs: this.clock() } };
  }

  extend(untilMs) {
    if (untilMs !== undefined) {
      const allowed = Math.min(untilMs, this.clock() + this.holdMaxMs);
      this.leaseEnd = Math.max(this.leaseEnd, allowed);
    }
  }

  checkLease() {
    const isOver = this.clock() > this.leaseEnd;
    if (isOver && this.holdsLease) {
      this.lapses += 1;
      this.record.write(`${this.name}: the lease has lapsed`);
    }
    this.holdsLease = !isOver;
    if (isOver) {
      for (const run of [...this.active.values()]) {
        this.end(run, 'lapsed');
      }
    }
  }

  startRun({ task, runNumber, spec, untilMs }) {
    const known = this.active.get(task);
    if (known?.number === runNumber) {
      this.extend(untilMs);
      return this.accepted();
    }
    if (untilMs <= this.clock()) {
      return this.rejection('late');
    }
    this.extend(untilMs);
    if (known !== undefined || runNumber <= (this.highest.get(task) ?? 0)) {
      return this.rejection('old');
    }
    const script = JSON.parse(spec);
    const run = {
      task,
      number: runNumber,
      script,
      since: performance.now(),
      stopping: false,
    };
    this.highest.set(task, runNumber);
    this.active.set(task, run);
    this.record.write(
      `${this.name} starts ${task} run ${runNumber} (fencing token ${this.fence})`,
    );
    this.onStart(run, this);
    if (!script.lasting && !script.waits) {
      run.timer = setTimeout(() => {
        this.end(run, script.how ?? 'done');
      }, script.runMs);
    }
    return this.accepted();
  }

  /** Ends the runs of tasks with `waits`, which wait for a common input. */
  release() {
    for (const run of [...this.active.values()]) {
      if (run.script.waits) {
        this.end(run, 'done');
      }
    }
  }

  stopRun({ task, runNumber }) {
    this.highest.set(task, Math.max(runNumber, this.highest.get(task) ?? 0));
    const run = this.active.get(task);
    if (run?.number === runNumber && !run.stopping) {
      run.stopping = true;
      setTimeout(() => {
        this.end(run, 'stopped');
      }, STOP_MS);
    }
    return this.accepted();
  }

  end(run, how) {
    if (this.active.get(run.task) !== run) {
      return;
    }
    clearTimeout(run.timer);
    this.active.delete(run.task);
    this.ends.push([this.nextEnd, run.task, run.number, how, '']);
    this.lapsesAtEnd.set(this.nextEnd, this.lapses);
    this.nextEnd += 1;
    this.record.write(
      `${this.name} ends ${run.task} run ${run.number}: ${how}`,
    );
    this.onEnd(run, how, this);
    this.waiting.splice(0).forEach(wake => wake());
  }

  async hold({ untilMs, ackIndex, waitMs = 0 }) {
    this.extend(untilMs);
    for (const [position, task, number, how] of this.ends) {
      if (position <= ackIndex) {
        this.record.write(
          `${this.name} forgets the end of ${task} run ${number} (${how}): ackIndex ${ackIndex}`,
        );
        // An end counts as taken note of unless the lease has lapsed since.
        if (this.lapsesAtEnd.get(position) === this.lapses) {
          this.onAcknowledged({ task, number }, how, this);
        }
      }
    }
    this.ends = this.ends.filter(([position]) => position > ackIndex);
    if (this.ends.length === 0 && waitMs > 0) {
      const ended = new Promise(resolve => {
        this.waiting.push(resolve);
      });
      await Promise.race([ended, sleep(Math.min(waitMs, MAX_POLL_WAIT_MS))]);
    }
    const now = performance.now();
    const active = [...this.active.values()].map(
      ({ task, number, script, since }) => {
        const whole = script.lasting ? STARTUP_MS : script.runMs;
        const percent = Math.min(
          100,
          Math.floor((100 * (now - since)) / whole),
        );
        return [task, number, '', percent, 0];
      },
    );
    return {
      status: 200,
      body: {
        clockMs: this.clock(),
        active,
        finished: this.ends.slice(0, MAX_LISTED_ENDS),
      },
    };
  }
}
