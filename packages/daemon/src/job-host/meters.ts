/** Metrics of a job host; docs/OPERATIONS.md explains how to read them. */
import type { Millis } from '@paddlewind/domain';
import type {
  FleetSnapshot,
  JournalRecord,
  RunEnd,
} from '@paddlewind/domain/jobs';
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';

import {
  createCapacityMeters,
  type CapacityMeters,
} from './capacity-meters.js';
import { createFailureMeters, type FailureMeters } from './failure-meters.js';
import {
  createLoadPeriodMeters,
  type LoadPeriodMeters,
} from './load-period-meters.js';
import { createRunTimeMeters, type RunTimeMeters } from './run-time-meters.js';
import { createVersionMeters, type VersionMeters } from './version-meters.js';

/** The dependency that a call waits for. */
export type Dependency = 'log' | 'worker' | 'advice';

/** Why a run was ordered to stop. */
export type StopReason = 'needless' | 'stalled' | 'slowed' | 'leaving';

/**
 * Why a planned start was not sent: it waited too long, its job has finished, the run is not needed
 * any more, the state it was planned from is too old, its worker does not answer or is leaving, or its
 * worker's zone is evacuated.
 */
export type DroppedStartReason =
  'late' | 'over' | 'needless' | 'stale' | 'worker' | 'evacuated';

/**
 * Why all runs of a worker were abandoned: it restarted or another worker answered, it did not
 * answer until its lease had expired, or it was removed from the registry before this leader took
 * over.
 */
export type AbandonedWorkerReason = 'replaced' | 'unanswered' | 'unregistered';

/**
 * Kinds of caller requests that are counted when refused; refused changes are counted among the
 * requests.
 */
export type RefusedRequest = 'queue_length' | 'status';

/**
 * Why a request was refused: the log does not answer, this host's copy is too old, or the leader's
 * decisions were not recorded in time.
 */
export type RefusalReason = 'log_away' | 'stale' | 'unrecorded';

/** What the unreadable entries are about. */
export type UnreadableKind = 'worker' | 'config';

/** Evacuated zones, each with the time for which this host has known of its evacuation. */
export type EvacuationTimes = Readonly<Record<string, Millis>>;

/** Metrics recorded by a job host. */
export interface JobMeters
  extends
    CapacityMeters,
    FailureMeters,
    LoadPeriodMeters,
    RunTimeMeters,
    VersionMeters {
  /** A caller's request was answered with an HTTP status after `span`. */
  readonly answered: (method: string, status: number, span: Millis) => void;
  /** A call to a dependency ended. */
  readonly called: (
    dependency: Dependency,
    call: string,
    outcome: string,
    span: Millis,
  ) => void;
  /** The leader decided on a journal record. */
  readonly decided: (kind: JournalRecord['kind']) => void;
  /** A run ended; `lost` if it ended with its worker. */
  readonly ended: (how: RunEnd | 'lost') => void;
  /** All runs of a worker, one or more, were abandoned. */
  readonly workerGivenUp: (reason: AbandonedWorkerReason) => void;
  /** A worker restarted under its id. */
  readonly workerRestarted: () => void;
  /** A worker stopped listing a run as active without having listed its end. */
  readonly runMissing: () => void;
  /** A worker no longer lists `count` ends that it has never listed to this leader. */
  readonly endsMissing: (count: number) => void;
  /** A task was abandoned and its job failed, since workers were lost while running it. */
  readonly taskGivenUp: () => void;
  /** A run was ordered to stop. */
  readonly stopped: (reason: StopReason) => void;
  /** A start was sent `wait` after its decision, with a copy of the inbox that was `inboxAge` old. */
  readonly startSent: (wait: Millis, inboxAge: Millis) => void;
  /** The leader asked another host to send a start. */
  readonly startRelayed: (outcome: string) => void;
  /** Another host accepted starts `tookMs` after they were sent. */
  readonly startsTaken: (tookMs: Millis) => void;
  /** A planned start was dropped. */
  readonly startGivenUp: (reason: DroppedStartReason) => void;
  /** A caller's request was refused; nothing was recorded. */
  readonly refused: (what: RefusedRequest, why: RefusalReason) => void;
  /** A timer of the process fired late by `delay`. */
  readonly loopDelayed: (delay: Millis) => void;
  /** `count` entries of this kind, written by others, currently can't be read. */
  readonly unreadable: (what: UnreadableKind, count: number) => void;
  /** A record of a stream of the log can't be read and was skipped. */
  readonly unreadableRecord: (stream: string) => void;
  /** A loop of the host failed and is run again. */
  readonly loopFailed: (loop: string) => void;
  /** The leader has computed the account of its fleet; the account is empty on hosts that do not lead. */
  readonly accounted: (account: FleetSnapshot) => void;
  /** These zones are evacuated, each known for so long. */
  readonly evacuated: (zones: EvacuationTimes) => void;
}

/** Values read when the metrics are scraped. */
export interface JobGauges {
  /** Epoch in which this host leads; 0 if it does not. */
  readonly epoch: () => number;
  readonly ready: () => boolean;
  /** Version of the configuration in force; 0 before the first. */
  readonly configVersion: () => number;
  /** Unfinished jobs in this host's copy. */
  readonly openJobs: () => number;
  /** Open runs on workers in this host's copy. */
  readonly openRuns: () => number;
}

/** Upper bounds in seconds: the log answers in 4 ms, callers wait for 3 s. */
const DURATION_BUCKETS_S = [
  0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 3,
];

/**
 * Upper bounds in seconds of the lag of this host: nothing starts on an inbox that was read 2.5 s
 * ago, and a leader whose appends were not confirmed for 4 s extends no lease.
 */
const LAG_BUCKETS_S = [
  0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 4, 10,
];

const MS_PER_S = 1000;

/** Registers the counters and histograms. */
export function createJobMeters(registry: Registry): JobMeters {
  return {
    ...createWorkMeters(registry),
    ...createLagMeters(registry),
    ...createFleetMeters(registry),
    ...createVersionMeters(registry),
    ...createLossMeters(registry),
    ...createFailureMeters(registry),
    ...createCapacityMeters(registry),
    ...createFaultMeters(registry),
    ...createRunTimeMeters(registry),
    ...createLoadPeriodMeters(registry),
  };
}

/** Registers the metrics of unreadable entries and failing loops. */
function createFaultMeters(
  registry: Registry,
): Pick<JobMeters, 'unreadable' | 'unreadableRecord' | 'loopFailed'> {
  const unreadable = new Gauge({
    name: 'paddlewind_jobs_unreadable_entries',
    help: "Entries of other writers that can't be read, by subject; workers on the leader only.",
    labelNames: ['what'],
    registers: [registry],
  });
  const records = new Counter({
    name: 'paddlewind_jobs_unreadable_records_total',
    help: "Records of the log's streams that this host could not read and skipped.",
    labelNames: ['stream'],
    registers: [registry],
  });
  const failures = new Counter({
    name: 'paddlewind_jobs_loop_failures_total',
    help: 'Failures of a loop of the host, which was then restarted.',
    labelNames: ['loop'],
    registers: [registry],
  });
  return {
    unreadable: (what, count) => {
      unreadable.set({ what }, count);
    },
    unreadableRecord: stream => {
      records.inc({ stream });
    },
    loopFailed: loop => {
      failures.inc({ loop });
    },
  };
}

const MILLICORES_PER_CORE = 1000;

/** Registers the metrics of the use of the fleet's processors and of waiting tasks. */
function createFleetMeters(
  registry: Registry,
): Pick<JobMeters, 'accounted' | 'evacuated'> {
  const evacuated = new Gauge({
    name: 'paddlewind_jobs_zone_evacuated_seconds',
    help: 'How long this host has known that nothing may start in an availability zone, by evacuated zone.',
    labelNames: ['zone'],
    registers: [registry],
  });
  const processors = new Gauge({
    name: 'paddlewind_jobs_fleet_cores',
    help: "Cores of the leader's fleet by state, reservation or use; 0 on other hosts.",
    labelNames: ['what'],
    registers: [registry],
  });
  const waiting = new Gauge({
    name: 'paddlewind_jobs_waiting_tasks',
    help: 'Waiting tasks of the leader that are eligible to run, by queue and reason.',
    labelNames: ['queue', 'reason'],
    registers: [registry],
  });
  const jobs = new Gauge({
    name: 'paddlewind_jobs_waiting_jobs',
    help: 'Jobs of the leader with waiting tasks, by queue, size among these jobs and reason of the first waiting task.',
    labelNames: ['queue', 'size', 'reason'],
    registers: [registry],
  });
  const oldest = new Gauge({
    name: 'paddlewind_jobs_oldest_waiting_seconds',
    help: 'Age of the oldest of these jobs, by queue and size.',
    labelNames: ['queue', 'size'],
    registers: [registry],
  });
  const setWaitingBySize = ({ sizes }: FleetSnapshot): void => {
    jobs.reset();
    oldest.reset();
    for (const [queue, groups] of Object.entries(sizes)) {
      for (const [size, found] of Object.entries(groups)) {
        jobs.set({ queue, size, reason: found.reason }, found.jobs);
        oldest.set({ queue, size }, found.oldestMs / MS_PER_S);
      }
    }
  };
  return {
    evacuated: zones => {
      evacuated.reset();
      for (const [zone, knownMs] of Object.entries(zones)) {
        evacuated.set({ zone }, knownMs / MS_PER_S);
      }
    },
    accounted: account => {
      setWaitingBySize(account);
      for (const [what, milli] of Object.entries(account.processors)) {
        processors.set({ what }, milli / MILLICORES_PER_CORE);
      }
      waiting.reset();
      for (const [queue, reasons] of Object.entries(account.waiting)) {
        for (const [reason, tasks] of Object.entries(reasons)) {
          waiting.set({ queue, reason }, tasks);
        }
      }
    },
  };
}

/** Registers the metrics of lost workers. */
function createLossMeters(
  registry: Registry,
): Pick<
  JobMeters,
  | 'workerGivenUp'
  | 'workerRestarted'
  | 'runMissing'
  | 'endsMissing'
  | 'taskGivenUp'
> {
  const workers = new Counter({
    name: 'paddlewind_jobs_workers_given_up_total',
    help: 'Workers whose runs were all abandoned while this host led, by reason.',
    labelNames: ['reason'],
    registers: [registry],
  });
  const tasks = new Counter({
    name: 'paddlewind_jobs_tasks_given_up_total',
    help: 'Tasks that were abandoned while this host led, since workers were lost while running them.',
    registers: [registry],
  });
  const restarts = new Counter({
    name: 'paddlewind_jobs_workers_restarted_total',
    help: 'Workers that restarted under their ids while this host led.',
    registers: [registry],
  });
  const missingRuns = new Counter({
    name: 'paddlewind_jobs_runs_missing_total',
    help: 'Runs that a worker listed as active and stopped listing without an end.',
    registers: [registry],
  });
  const missingEnds = new Counter({
    name: 'paddlewind_jobs_ends_missing_total',
    help: 'Ends that a worker no longer lists and has not listed to this leader.',
    registers: [registry],
  });
  return {
    workerRestarted: () => {
      restarts.inc();
    },
    runMissing: () => {
      missingRuns.inc();
    },
    endsMissing: count => {
      missingEnds.inc(count);
    },
    workerGivenUp: reason => {
      workers.inc({ reason });
    },
    taskGivenUp: () => {
      tasks.inc();
    },
  };
}

type LagMeters = Pick<
  JobMeters,
  | 'startSent'
  | 'startRelayed'
  | 'startsTaken'
  | 'startGivenUp'
  | 'refused'
  | 'loopDelayed'
>;

/** Registers the metrics of the lag of this host and of what it refuses or drops. */
function createLagMeters(registry: Registry): LagMeters {
  const lagHistogram = (name: string, help: string): Histogram =>
    new Histogram({
      name: `paddlewind_jobs_${name}_seconds`,
      help,
      buckets: LAG_BUCKETS_S,
      registers: [registry],
    });
  const loopDelay = lagHistogram(
    'loop_delay',
    'How late a timer of the process fired, sampled every 250 ms.',
  );
  const startWait = lagHistogram(
    'start_wait',
    'Time from the planning of a start until it was sent to its worker.',
  );
  const inboxAge = lagHistogram(
    'start_inbox_age',
    'Age of the copy of the inbox when a start was sent.',
  );
  const dropped = new Counter({
    name: 'paddlewind_jobs_starts_given_up_total',
    help: 'Planned starts that were not sent, by reason.',
    labelNames: ['reason'],
    registers: [registry],
  });
  const relayed = new Counter({
    name: 'paddlewind_jobs_starts_relayed_total',
    help: 'Starts that the leader had another host send, by outcome.',
    labelNames: ['outcome'],
    registers: [registry],
  });
  const accepted = lagHistogram(
    'starts_taken',
    'Time until another host had accepted starts, which shows queues on the links between.',
  );
  const refusals = new Counter({
    name: 'paddlewind_jobs_refused_total',
    help: 'Requests of callers that were refused, by kind of request and reason.',
    labelNames: ['what', 'why'],
    registers: [registry],
  });
  return {
    startSent: (wait, age) => {
      startWait.observe(wait / MS_PER_S);
      inboxAge.observe(age / MS_PER_S);
    },
    startRelayed: outcome => {
      relayed.inc({ outcome });
    },
    startsTaken: tookMs => {
      accepted.observe(tookMs / MS_PER_S);
    },
    startGivenUp: reason => {
      dropped.inc({ reason });
    },
    refused: (what, why) => {
      refusals.inc({ what, why });
    },
    loopDelayed: delay => {
      loopDelay.observe(delay / MS_PER_S);
    },
  };
}

/** Registers the metrics of the work of this host. */
function createWorkMeters(
  registry: Registry,
): Pick<JobMeters, 'answered' | 'called' | 'decided' | 'ended' | 'stopped'> {
  const registers = [registry];
  const requests = new Histogram({
    name: 'paddlewind_jobs_request_duration_seconds',
    help: 'Time until a request of a caller was answered, by method and status.',
    labelNames: ['method', 'status'],
    buckets: DURATION_BUCKETS_S,
    registers,
  });
  const calls = new Histogram({
    name: 'paddlewind_jobs_call_duration_seconds',
    help: 'Time until a call to a dependency ended, by call and outcome.',
    labelNames: ['dependency', 'call', 'outcome'],
    buckets: DURATION_BUCKETS_S,
    registers,
  });
  const decisions = new Counter({
    name: 'paddlewind_jobs_decisions_total',
    help: 'Journal records that this host decided on while it led, by kind.',
    labelNames: ['kind'],
    registers,
  });
  const ends = new Counter({
    name: 'paddlewind_jobs_runs_ended_total',
    help: 'Runs that ended while this host led, by how they ended.',
    labelNames: ['how'],
    registers,
  });
  const stops = new Counter({
    name: 'paddlewind_jobs_stops_total',
    help: 'Runs that this host ordered to stop, by reason.',
    labelNames: ['reason'],
    registers,
  });
  return {
    answered: (method, status, span) => {
      requests.observe({ method, status }, span / MS_PER_S);
    },
    called: (dependency, call, outcome, span) => {
      calls.observe({ dependency, call, outcome }, span / MS_PER_S);
    },
    decided: kind => {
      decisions.inc({ kind });
    },
    ended: how => {
      ends.inc({ how });
    },
    stopped: reason => {
      stops.inc({ reason });
    },
  };
}

/** Registers gauges that are read when the metrics are scraped. */
export function registerJobGauges(registry: Registry, gauges: JobGauges): void {
  const add = (name: string, help: string, read: () => number): void => {
    new Gauge({
      name: `paddlewind_jobs_${name}`,
      help,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  };
  add('leader_epoch', 'Epoch in which this host leads, else 0.', gauges.epoch);
  add('ready', '1 while callers should be sent here, else 0.', () =>
    Number(gauges.ready()),
  );
  add(
    'config_version',
    'Version of the configuration in force, 0 before the first.',
    gauges.configVersion,
  );
  add('open', 'Unfinished jobs.', gauges.openJobs);
  add('open_runs', 'Runs that have not ended.', gauges.openRuns);
}
