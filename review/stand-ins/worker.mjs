/** Stand-in of a worker that is ordered by `invocation`, as PROTOCOL.md describes it. */
import { createServer } from 'node:http';

/** Most ends in one response. */
const MAX_LISTED_ENDS = 500;
const MAX_WAIT_MS = 2_000;

/**
 * A worker. `runMs` returns how long a run works (infinite for tasks that last); `record` is called with each
 * start, end and acknowledged end.
 */
export class Worker {
  constructor({ id, machine, rack, capacity, holdMaxMs, runMs, record }) {
    Object.assign(this, { id, machine, rack, capacity, holdMaxMs, runMs });
    this.record = record;
    this.fence = 0;
    this.untilMs = 0;
    this.lapses = 0;
    this.nextEnd = 1;
    this.ends = [];
    this.active = new Map();
    /** Highest run that was started, stopped or ended, by task. */
    this.highestRun = new Map();
    this.waiting = new Set();
    this.bornAt = performance.now();
  }

  get clockMs() {
    return Math.floor(performance.now() - this.bornAt) + 1_000;
  }

  async start() {
    this.server = createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 120_000;
    await new Promise(done => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.lapseTimer = setInterval(() => this.lapseIfDue(), 10);
  }

  stop() {
    clearInterval(this.lapseTimer);
    for (const run of this.active.values()) {
      clearTimeout(run.timer);
    }
    this.server.close();
    this.server.closeAllConnections();
  }

  /** The entry in the platform's store. */
  entry(service, zone, sequence) {
    return {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 2_000,
      state: 'ready',
      coldRemainingMs: 0,
      sequence,
      machine: this.machine,
      capacity: this.capacity,
      labels: ['a', this.rack],
    };
  }

  async handle(req, res) {
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    if (req.headers['expected-instance'] !== this.id) {
      reply(res, 421, {});
      return;
    }
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const fence = body.fencingToken ?? 0;
    if (fence < this.fence) {
      reply(res, 409, { clockMs: this.clockMs, reason: 'fence' });
      return;
    }
    this.fence = fence;
    switch (req.url) {
      case '/v1/run-start':
        this.handleStart(body, res);
        return;
      case '/v1/run-stop':
        this.handleStop(body, res);
        return;
      case '/v1/pace':
        reply(res, 200, { clockMs: this.clockMs });
        return;
      case '/v1/hold':
        await this.handleHold(body, res);
        return;
      default:
        reply(res, 404, {});
    }
  }

  extend(untilMs) {
    const longest = this.clockMs + this.holdMaxMs;
    this.untilMs = Math.max(this.untilMs, Math.min(untilMs, longest));
  }

  lapseIfDue() {
    if (this.active.size > 0 && this.clockMs > this.untilMs) {
      this.lapses += 1;
      for (const key of [...this.active.keys()]) {
        this.end(key, 'lapsed');
      }
    }
  }

  handleStart({ task, runNumber, spec, untilMs }, res) {
    const rejected = reason => {
      reply(res, 409, { clockMs: this.clockMs, reason });
    };
    const key = `${task}#${runNumber}`;
    if (this.active.has(key)) {
      this.extend(untilMs);
      reply(res, 200, { clockMs: this.clockMs });
      return;
    }
    if (untilMs <= this.clockMs) {
      rejected('late');
      return;
    }
    this.extend(untilMs);
    if (runNumber <= (this.highestRun.get(task) ?? 0)) {
      rejected('old');
      return;
    }
    const size = JSON.parse(spec);
    if (!this.hasRoom(size)) {
      rejected('room');
      return;
    }
    this.highestRun.set(task, runNumber);
    const runMs = this.runMs(task, runNumber, size);
    const run = { task, runNumber, size, runMs, at: performance.now() };
    if (runMs < Infinity) {
      run.timer = setTimeout(() => this.end(key, 'done'), runMs);
    }
    this.active.set(key, run);
    const { cpu } = size;
    this.record('start', { worker: this.id, task, run: runNumber, cpu });
    reply(res, 200, { clockMs: this.clockMs });
  }

  hasRoom({ cpu, memMb }) {
    let usedCpu = cpu;
    let usedMem = memMb;
    for (const { size } of this.active.values()) {
      usedCpu += size.cpu;
      usedMem += size.memMb;
    }
    return usedCpu <= this.capacity.cpu && usedMem <= this.capacity.memMb;
  }

  handleStop({ task, runNumber }, res) {
    const highest = Math.max(runNumber, this.highestRun.get(task) ?? 0);
    this.highestRun.set(task, highest);
    const key = `${task}#${runNumber}`;
    if (this.active.has(key)) {
      setTimeout(() => this.end(key, 'stopped'), 50);
    }
    reply(res, 200, { clockMs: this.clockMs });
  }

  end(key, how) {
    const run = this.active.get(key);
    if (run === undefined) {
      return;
    }
    this.active.delete(key);
    clearTimeout(run.timer);
    const { task, runNumber } = run;
    const at = this.nextEnd;
    this.nextEnd += 1;
    this.ends.push({ at, task, runNumber, how, lapses: this.lapses });
    this.record('end', { worker: this.id, task, run: runNumber, how, n: at });
    for (const wake of this.waiting) {
      wake();
    }
  }

  async handleHold({ ackIndex = 0, untilMs, waitMs = 0 }, res) {
    if (untilMs !== undefined) {
      this.extend(untilMs);
    }
    while (this.ends.length > 0 && this.ends[0].at <= ackIndex) {
      const { task, runNumber, how, at, lapses } = this.ends.shift();
      const lapsed = lapses !== this.lapses;
      const noted = { worker: this.id, task, run: runNumber, how, n: at };
      this.record('acked', { ...noted, lapsed });
    }
    if (this.ends.length === 0 && waitMs > 0) {
      await new Promise(done => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          done();
        };
        const timer = setTimeout(wake, Math.min(waitMs, MAX_WAIT_MS));
        this.waiting.add(wake);
      });
    }
    const now = performance.now();
    const active = [...this.active.values()].map(run => {
      const share = run.runMs < Infinity ? (now - run.at) / run.runMs : 1;
      const percent = Math.min(100, Math.floor(100 * share));
      return [run.task, run.runNumber, '', percent, run.size.cpu];
    });
    const finished = this.ends
      .slice(0, MAX_LISTED_ENDS)
      .map(({ at, task, runNumber, how }) => [at, task, runNumber, how, '']);
    reply(res, 200, { clockMs: this.clockMs, active, finished });
  }
}

function reply(res, status, body) {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}
