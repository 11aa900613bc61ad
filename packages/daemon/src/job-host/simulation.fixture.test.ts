/** Job hosts, log and workers in virtual time, with faults that a test injects. */
import { seededRandom, type Millis, type Random } from '@paddlewind/domain';
import {
  decodeJournal,
  DEFAULT_STEP,
  type JobSpec,
  type MoveCosts,
  type StepSpec,
} from '@paddlewind/domain/jobs';
import type {
  JobLog,
  OperatorConfig,
  PeerPort,
  WorkerPort,
} from '@paddlewind/ports/jobs';
import { createVirtualTime, type VirtualTime } from '@paddlewind/stand-ins';
import {
  JobHistory,
  MemoryFleet,
  MemoryJobLog,
  MemoryOperator,
  type TaskScript,
} from '@paddlewind/stand-ins/jobs';
import { pino, type Logger } from 'pino';
import { Registry } from 'prom-client';

import { createJobMeters } from './meters.js';
import { PartTimes } from './part-times.js';
import { linkSharesOf } from './relay/link-shares.js';
import {
  SimulatedLink,
  SimulatedPeers,
} from './simulated-network.fixture.test.js';
import { SimulatedProcess } from './simulated-process.fixture.test.js';
import {
  SimulatedWire,
  type WireOptions,
} from './simulated-wire.fixture.test.js';
import { StageWaits } from './stage-waits.js';
import { startJobHost, type JobHost } from './start-job-host.js';

const MAX_LEASE_MS = 6_000;
const WORKER_RESTART_MS = 2_500;
const RETENTION_MS = 30_000;
const STATUS_MS = 20_000;
const EVACUATION_EFFECT_MS = 5_000;
const CAPACITY = { cpuMilli: 4_000, memoryMiB: 8_000, accelerators: 0 };
const QUEUE = {
  queue: 'checks',
  service: 'main',
  priority: 0,
  maxAttempts: 3,
  deadlineFactor: 2,
  targetLatencyMs: 500,
};

const CONFIG: OperatorConfig = {
  version: 1,
  queues: [{ host: 'jobs', pathPrefix: '/', terms: QUEUE }],
  limits: {
    maxBodyBytes: 1_000_000,
    maxHeaderBytes: 10_000,
    headerTimeoutMs: 5_000,
    idleTimeoutMs: 5_000,
  },
};

/** A host and its process. */
class SimulatedHost {
  constructor(
    readonly host: JobHost,
    readonly process: SimulatedProcess,
  ) {}

  /** Whether its process has not been killed. */
  get alive(): boolean {
    return this.process.alive;
  }
}

/** A step of a job in a test. */
export type TestStep = Pick<StepSpec, 'tasks' | 'after'> & Partial<StepSpec>;

/** Settings of a simulated deployment. */
export interface SimulationOptions {
  /** Longest lease that workers accept. */
  readonly maxLeaseMs?: Millis;
  /** Time until a worker that was crashed by a task is back. */
  readonly workerRestartMs?: Millis;
  /** Whether a worker that restarts keeps its id. */
  readonly keepsIds?: boolean;
  /** Number of ends that workers list at a time; 500 by default. */
  readonly listedEnds?: number;
  /** Capacity of each host's outgoing link; unlimited by default. */
  readonly linkBytesPerS?: number;
  /**
   * Whether hosts assume that their links carry no payload at all, so that other hosts send the
   * starts.
   */
  readonly relayAllStarts?: boolean;
  /** Availability zone of the worker on a machine; `a` for all by default. */
  readonly zoneOf?: (machine: string) => string;
  /** Availability zone of a host; unknown by default. */
  readonly hostZoneOf?: (name: string) => string | undefined;
  /** Whether all hosts count as saturated, so that other hosts call workers for the leader. */
  readonly saturated?: boolean;
  /** Costs of moving a run; by default the platform does not state them. */
  readonly moveCosts?: MoveCosts;
  /** Version of the worker that is the nth to start; workers have none by default. */
  readonly versionOf?: (nth: number) => string;
  /** Size of calls on links in both directions; by default only `SimulatedLink` is used. */
  readonly wire?: WireOptions;
  /** Log of a host; by default its lines are written only if `TEST_LOG` names a level. */
  readonly logOf?: (host: string) => Logger;
}

/** The ports of a host. */
interface SimulatedNetwork {
  readonly log: JobLog;
  readonly peers: PeerPort;
  readonly port: () => WorkerPort;
}

/** Several hosts on one log and one fleet. */
export class Simulation {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly log: MemoryJobLog;
  readonly fleet: MemoryFleet;
  readonly history: JobHistory;
  readonly operator: MemoryOperator;
  readonly hosts = new Map<string, SimulatedHost>();
  /** Number of starts, limits and polls that each host has sent to workers. */
  readonly workerCalls = new Map<string, number>();
  /** Offset of the hosts' time of day. */
  wallOffset: Millis = 0;
  /** Offset of the workers' time of day. */
  workerWallOffset: Millis = 0;
  readonly peers: SimulatedPeers;
  private readonly maxLeaseMs: Millis;
  private readonly keepsIds: boolean;
  private readonly listedEnds: number | undefined;
  private readonly linkBytesPerS: number;
  private readonly relayAllStarts: boolean;
  private readonly zoneOf: (machine: string) => string;
  private readonly hostZoneOf: (name: string) => string | undefined;
  private readonly saturated: boolean;
  private readonly moveCosts: MoveCosts | undefined;
  private readonly versionOf: ((nth: number) => string) | undefined;
  private readonly wire: WireOptions | undefined;
  private readonly logOf: (host: string) => Logger;
  private incarnations = 0;

  /** Creates a simulation whose randomness is derived from `seed`. */
  constructor(
    seed: number,
    {
      maxLeaseMs = MAX_LEASE_MS,
      workerRestartMs = WORKER_RESTART_MS,
      keepsIds = false,
      listedEnds,
      linkBytesPerS = Infinity,
      relayAllStarts = process.env.TEST_RELAYS !== undefined,
      zoneOf = () => 'a',
      hostZoneOf = () => undefined,
      saturated = process.env.TEST_PROXIES !== undefined,
      moveCosts,
      versionOf,
      wire,
      logOf = () => pino({ level: process.env.TEST_LOG ?? 'silent' }),
    }: SimulationOptions = {},
  ) {
    this.maxLeaseMs = maxLeaseMs;
    this.keepsIds = keepsIds;
    this.listedEnds = listedEnds;
    this.linkBytesPerS = linkBytesPerS;
    this.relayAllStarts = relayAllStarts;
    this.zoneOf = zoneOf;
    this.hostZoneOf = hostZoneOf;
    this.saturated = saturated;
    this.moveCosts = moveCosts;
    this.versionOf = versionOf;
    this.wire = wire;
    this.logOf = logOf;
    this.time = createVirtualTime();
    this.peers = new SimulatedPeers(this.time, this.hosts);
    this.random = seededRandom(seed);
    const { clock, schedule } = this.time;
    const time = { clock, schedule, random: this.random };
    this.history = new JobHistory(clock);
    this.history.statusMs = STATUS_MS;
    this.log = new MemoryJobLog(time);
    this.fleet = new MemoryFleet(time, this.history);
    this.operator = new MemoryOperator(
      time,
      this.history,
      host => this.log.hostModes.get(host) ?? 'up',
    );
    this.fleet.onCrash = (machine, labels) => {
      const from = clock();
      this.history.faults?.add({
        from,
        until: from + workerRestartMs,
        of: 'workers',
      });
      schedule(workerRestartMs, () => {
        if (this.fleet.at(machine) === undefined) {
          this.addWorker(machine, labels);
        }
      });
    };
  }

  /** Publishes a configuration. */
  configure(): void {
    this.operator.config = CONFIG;
  }

  /** Adds a new incarnation of the worker on `machine`. */
  addWorker(
    machine: string,
    labels: readonly string[] = [],
    capacity = CAPACITY,
    ownVersion?: string,
  ): void {
    this.incarnations += 1;
    const version = ownVersion ?? this.versionOf?.(this.incarnations);
    const { listedEnds } = this;
    const clockRate = 0.98 + 0.02 * this.random();
    const clockOffset = Math.floor(this.random() * 100_000);
    const traits = {
      capacity,
      labels,
      ...(version === undefined ? {} : { version }),
      ...(listedEnds === undefined ? {} : { listedEnds }),
      availabilityZone: this.zoneOf(machine),
      maxLeaseMs: this.maxLeaseMs,
      clockRate,
    };
    if (this.keepsIds) {
      // The clock of each incarnation starts at 0.
      const now = this.time.clock();
      const sinceStart = -Math.floor(now * clockRate);
      const startedAt = Math.floor(now + this.workerWallOffset);
      const incarnation = { id: machine, startedAt, clockOffset: sinceStart };
      this.fleet.add(machine, { ...traits, ...incarnation });
    } else {
      const id = `${machine}-life${this.incarnations}`;
      this.fleet.add(machine, { ...traits, id, clockOffset });
    }
  }

  /** Ends the incarnation of the worker on `machine` and starts another one after `downtimeMs`. */
  restartWorker(
    machine: string,
    downtimeMs: Millis,
    capacity = CAPACITY,
  ): void {
    this.fleet.crash(machine);
    this.time.schedule(downtimeMs, () => {
      this.addWorker(machine, [], capacity);
    });
  }

  /** Starts or restarts a host. */
  startHost(name: string, cores = 1): JobHost {
    const simulated = new SimulatedProcess(this.time);
    simulated.saturate(this.saturated);
    const { log, peers, port } = this.networkOf(name);
    const host = startJobHost({
      ctx: {
        host: name,
        clock: simulated.clock,
        wallClock: () => this.time.clock() + this.wallOffset,
        random: this.random,
        schedule: simulated.schedule,
        log: this.logOf(name),
        meters: createJobMeters(new Registry()),
        times: new PartTimes(simulated.clock),
        waits: new StageWaits(),
        isSaturated: () => simulated.isSaturated,
        busyPercent: () => (simulated.isSaturated ? 100 : 0),
      },
      jobLog: simulated.guard(log),
      operatorFeed: simulated.guard(this.operator.connect(name)),
      workerFeed: () => this.fleet.feed(),
      workerPort: () => simulated.guard(port()),
      advicePort: () => ({
        ask: () => Promise.resolve({ kind: 'unavailable', reason: 'none' }),
      }),
      peers: simulated.guard(peers),
      proxies: simulated.guard(this.peers.proxies(name)),
      peerAddress: name,
      availabilityZone: this.hostZoneOf(name),
      maxLeaseMs: this.maxLeaseMs,
      moveCosts: this.moveCosts,
      evacuationEffectMs: EVACUATION_EFFECT_MS,
      cores,
      linkShares: this.relayAllStarts
        ? { payloads: 1, retries: Infinity, withoutRelays: Infinity }
        : linkSharesOf(this.linkBytesPerS),
      retentionMs: RETENTION_MS,
      statusMs: STATUS_MS,
    });
    this.hosts.set(name, new SimulatedHost(host, simulated));
    return host;
  }

  /** Returns the ports of a host, behind its link. */
  private networkOf(name: string): SimulatedNetwork {
    const { time, fleet, wire: options } = this;
    const link = new SimulatedLink(time, this.linkBytesPerS);
    const log = this.log.connect(name);
    if (options === undefined) {
      const peers = this.peers.connect(name, link);
      const port = (): WorkerPort =>
        this.countCalls(name, link.port(fleet.connect(name)));
      return { log, peers, port };
    }
    const { inBytesPerS, connections } = options;
    const into = new SimulatedLink(time, inBytesPerS);
    const wire = new SimulatedWire(time, link, into, connections);
    this.peers.links.set(name, wire);
    return {
      log: wire.log(log),
      peers: wire.peers(name, this.peers),
      port: () => this.countCalls(name, wire.port(fleet.connect(name))),
    };
  }

  /** Returns `port`, whose starts, limits and polls are counted. */
  private countCalls(name: string, port: WorkerPort): WorkerPort {
    const count = (): void => {
      this.workerCalls.set(name, (this.workerCalls.get(name) ?? 0) + 1);
    };
    return {
      ...port,
      start: (to, order) => {
        count();
        return port.start(to, order);
      },
      throttle: (to, order) => {
        count();
        return port.throttle(to, order);
      },
      poll: (to, request, takeLate) => {
        count();
        return port.poll(to, request, takeLate);
      },
    };
  }

  /** Kills the process of a host. */
  kill(name: string): void {
    this.hosts.get(name)?.process.kill();
  }

  /** Freezes the process of a host for `span`. */
  freeze(name: string, span: Millis): void {
    this.hosts.get(name)?.process.freeze(span);
  }

  /** Suspends the machine of a host for `span`, which its monotonic clock and its timers don't count. */
  suspend(name: string, span: Millis): void {
    this.hosts.get(name)?.process.suspend(span);
  }

  /** Makes the process of a host take `eventMs` for each event, one after the other. */
  slow(name: string, eventMs: Millis): void {
    this.hosts.get(name)?.process.slow(eventMs);
  }

  /** Returns the number of timers that the process of a host has set and not cancelled. */
  timersOf(name: string): number {
    return this.hosts.get(name)?.process.timers ?? 0;
  }

  /** Makes a host count as saturated whatever it does, or only by its backlog of events. */
  saturate(name: string, isSaturated: boolean): void {
    this.hosts.get(name)?.process.saturate(isSaturated);
  }

  /** Submits a job through a random host, retrying until it is accepted. */
  async submit(
    id: string,
    steps: TestStep[],
    script: TaskScript,
  ): Promise<void> {
    const job = jobOf(id, steps, script);
    this.history.jobs.set(id, {
      steps: job.steps,
      maxAttempts: QUEUE.maxAttempts,
      cancelledAt: Infinity,
    });
    await this.untilRecorded(host =>
      host.service.submit(job, this.time.clock() + 3_000),
    );
    const submitted = this.history.jobs.get(id);
    if (submitted !== undefined) {
      submitted.acceptedAt = this.time.clock();
    }
  }

  /** Cancels a job through a random host, retrying until that is confirmed. */
  async cancel(id: string): Promise<void> {
    const job = this.history.jobs.get(id);
    if (job !== undefined) {
      job.cancelRequestedAt ??= this.time.clock();
    }
    await this.untilRecorded(host =>
      host.service.cancel(id, this.time.clock() + 3_000),
    );
    if (job !== undefined) {
      job.cancelledAt = this.time.clock();
    }
  }

  private async untilRecorded(
    ask: (host: JobHost) => Promise<{ kind: string }>,
  ): Promise<void> {
    for (;;) {
      const alive = [...this.hosts.values()].filter(found => found.alive);
      const host = alive[Math.floor(this.random() * alive.length)];
      if (host !== undefined) {
        const timedOut = this.wait(4_000).then(() => ({ kind: 'gave_up' }));
        const result = await Promise.race([ask(host.host), timedOut]);
        if (result.kind === 'recorded') {
          return;
        }
      }
      await this.wait(200);
    }
  }

  /** Returns the name of the host that last claimed the leadership. */
  leader(): string {
    const claims = this.log
      .recordsOf('journal')
      .map(bytes => decodeJournal(bytes))
      .filter(record => record?.kind === 'claim');
    return claims.at(-1)?.host ?? '';
  }

  /** Returns the number of recorded starts of runs. */
  recordedStarts(): number {
    const records = this.log.recordsOf('journal').map(decodeJournal);
    return records.filter(record => record?.kind === 'start').length;
  }

  /** Resolves after `span` of virtual time. */
  wait(span: Millis): Promise<void> {
    return new Promise(resolve => {
      this.time.schedule(span, resolve);
    });
  }
}

/** Returns a job whose tasks behave as `script` says. */
export function jobOf(
  id: string,
  steps: readonly TestStep[],
  script: TaskScript,
): JobSpec {
  return {
    id,
    payload: JSON.stringify(script),
    steps: steps.map(step => ({ ...DEFAULT_STEP, ...step })),
    repetition: undefined,
    terms: QUEUE,
  };
}
