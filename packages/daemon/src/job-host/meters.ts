/** Metrics of a job host; docs/OPERATIONS.md tells what to look at. */
import type { Millis } from '@paddlewind/domain';
import type {
  FleetAccount,
  JournalRecord,
  RunEnd,
} from '@paddlewind/domain/jobs';
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';

/** Whose answers a call waits for. */
export type Dependency = 'log' | 'worker' | 'advice';

/** Why a run was ordered to stop. */
export type StopReason = 'needless' | 'stalled' | 'slowed' | 'leaving';

/**
 * Why a start that was decided on is not sent: it has waited for too long, its job is over, nobody needs
 * the run, what it was decided on is too old, or its worker does not answer or leaves.
 */
export type DroppedStartReason =
  'late' | 'over' | 'needless' | 'stale' | 'worker';

/**
 * Why all runs of a worker were given up: it has started again or another one answered, it did not answer until its lease had
 * ended, or it had left the registry before this leader took over.
 */
export type AbandonedWorkerReason = 'replaced' | 'unanswered' | 'unregistered';

/** What a caller asked for that was refused; changes that are refused are counted among the requests. */
export type RefusedRequest = 'queue_length' | 'status';

/**
 * Why a request was refused: the log does not answer, what this host has read is too old, or the
 * leader's decisions were not recorded in time.
 */
export type RefusalReason = 'log_away' | 'stale' | 'unrecorded';

/** What other writers' entries are about. */
export type UnreadableKind = 'worker' | 'config';

/** What a job host counts. */
export interface JobMeters {
  /** A caller's request was answered with an HTTP status after `span`. */
  readonly answered: (method: string, status: number, span: Millis) => void;
  /** A call to a dependency ended. */
  readonly called: (
    dependency: Dependency,
    call: string,
    outcome: string,
    span: Millis,
  ) => void;
  /** The leader decided on a record of the journal. */
  readonly decided: (kind: JournalRecord['kind']) => void;
  /** A run has ended; `lost` with its worker. */
  readonly ended: (how: RunEnd | 'lost') => void;
  /** All runs of a worker, one or more, were given up. */
  readonly workerGivenUp: (reason: AbandonedWorkerReason) => void;
  /** A worker has started again under its id. */
  readonly workerRestarted: () => void;
  /** A run that a worker had listed as at work is listed no more, and no end of it was. */
  readonly runMissing: () => void;
  /** A worker no longer lists `count` ends that it has not listed to this leader. */
  readonly endsMissing: (count: number) => void;
  /** A task is given up, and its job has failed with it: workers were lost under its runs. */
  readonly taskGivenUp: () => void;
  /** A run was ordered to stop. */
  readonly stopped: (reason: StopReason) => void;
  /** A start was sent `wait` after its decision, when the leader's reading of the inbox was `inboxAge` old. */
  readonly startSent: (wait: Millis, inboxAge: Millis) => void;
  /** Another host was to send a start for this one, which leads. */
  readonly startRelayed: (outcome: string) => void;
  /** Another host has taken starts, `tookMs` after they were sent. */
  readonly startsTaken: (tookMs: Millis) => void;
  /** A start that was decided on is not sent. */
  readonly startGivenUp: (reason: DroppedStartReason) => void;
  /** A caller's request was refused; nothing was recorded of it. */
  readonly refused: (what: RefusedRequest, why: RefusalReason) => void;
  /** A timer of the process fired late by `delay`. */
  readonly loopDelayed: (delay: Millis) => void;
  /** `count` entries of this kind, written by others, can't be read at present. */
  readonly unreadable: (what: UnreadableKind, count: number) => void;
  /** A record of a stream of the log can't be read and is passed over. */
  readonly unreadableRecord: (stream: string) => void;
  /** A loop of the host has failed and is run again. */
  readonly loopFailed: (loop: string) => void;
  /** The leader has accounted for its fleet; the account of a host that does not lead is empty. */
  readonly accounted: (account: FleetAccount) => void;
}

/** What is read when the metrics are asked for. */
export interface JobGauges {
  /** Epoch in which this host leads; 0 while it does not. */
  readonly epoch: () => number;
  readonly ready: () => boolean;
  /** Version of the configuration in force; 0 before the first. */
  readonly configVersion: () => number;
  /** Jobs that are not over, as far as this host has read. */
  readonly openJobs: () => number;
  /** Open runs by worker, as far as this host has read. */
  readonly openRuns: () => number;
}

/** Upper bounds in seconds: the log answers in 4 ms, callers wait for 3 s. */
const SECONDS_BUCKETS = [
  0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 3,
];

/**
 * Upper bounds in seconds of how far this host is behind: nothing starts on an inbox read 2.5 s ago, and
 * a leader that the log has not confirmed for 4 s extends no lease.
 */
const BEHIND_BUCKETS = [
  0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 4, 10,
];

const MS_PER_S = 1000;

/** Registers the counters and histograms. */
export function createJobMeters(registry: Registry): JobMeters {
  return {
    ...createWorkMeters(registry),
    ...createLagMeters(registry),
    ...createFleetMeters(registry),
    ...createLossMeters(registry),
    ...createFaultMeters(registry),
  };
}

/** Registers what tells of entries that can't be read and of loops that fail. */
function createFaultMeters(
  registry: Registry,
): Pick<JobMeters, 'unreadable' | 'unreadableRecord' | 'loopFailed'> {
  const unreadable = new Gauge({
    name: 'paddlewind_jobs_unreadable_entries',
    help: "Entries of other writers that can't be read, by what they are about; workers at the leader only.",
    labelNames: ['what'],
    registers: [registry],
  });
  const records = new Counter({
    name: 'paddlewind_jobs_unreadable_records_total',
    help: "Records of the log's streams that this host could not read and passed over.",
    labelNames: ['stream'],
    registers: [registry],
  });
  const failures = new Counter({
    name: 'paddlewind_jobs_loop_failures_total',
    help: 'Failures of a loop of the host, which was then run again.',
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

const MILLI = 1000;

/** Registers what tells who holds the fleet's processors and why tasks wait. */
function createFleetMeters(registry: Registry): Pick<JobMeters, 'accounted'> {
  const processors = new Gauge({
    name: 'paddlewind_jobs_fleet_cores',
    help: "Cores of the leader's fleet by what they are, are promised to or are used by; 0 on other hosts.",
    labelNames: ['what'],
    registers: [registry],
  });
  const waiting = new Gauge({
    name: 'paddlewind_jobs_waiting_tasks',
    help: 'Tasks of the leader whose turn has come and that wait, by queue and reason.',
    labelNames: ['queue', 'reason'],
    registers: [registry],
  });
  const jobs = new Gauge({
    name: 'paddlewind_jobs_waiting_jobs',
    help: 'Jobs of the leader of which tasks wait, by queue, size among these and why the first in turn waits.',
    labelNames: ['queue', 'size', 'reason'],
    registers: [registry],
  });
  const oldest = new Gauge({
    name: 'paddlewind_jobs_oldest_waiting_seconds',
    help: 'Age of the oldest of these jobs, by queue and size.',
    labelNames: ['queue', 'size'],
    registers: [registry],
  });
  const tellSizes = ({ sizes }: FleetAccount): void => {
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
    accounted: account => {
      tellSizes(account);
      for (const [what, milli] of Object.entries(account.processors)) {
        processors.set({ what }, milli / MILLI);
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

/** Registers what tells of workers that are lost. */
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
    help: 'Workers of which all runs were given up while this host led, by reason.',
    labelNames: ['reason'],
    registers: [registry],
  });
  const tasks = new Counter({
    name: 'paddlewind_jobs_tasks_given_up_total',
    help: 'Tasks that were given up while this host led, since workers were lost under their runs.',
    registers: [registry],
  });
  const restarts = new Counter({
    name: 'paddlewind_jobs_workers_restarted_total',
    help: 'Workers that were seen to start again under their ids while this host led.',
    registers: [registry],
  });
  const missingRuns = new Counter({
    name: 'paddlewind_jobs_runs_missing_total',
    help: 'Runs that a worker had listed as at work and lists no more, without an end.',
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

/** Registers what tells how far this host is behind, and what it turns down. */
function createLagMeters(registry: Registry): LagMeters {
  const behind = (name: string, help: string): Histogram =>
    new Histogram({
      name: `paddlewind_jobs_${name}_seconds`,
      help,
      buckets: BEHIND_BUCKETS,
      registers: [registry],
    });
  const loopDelay = behind(
    'loop_delay',
    'How late a timer of the process fired, sampled every 250 ms.',
  );
  const startWait = behind(
    'start_wait',
    'Time from the decision on a start until it was sent to its worker.',
  );
  const inboxAge = behind(
    'start_inbox_age',
    'Age of the reading of the inbox when a start was sent.',
  );
  const givenUp = new Counter({
    name: 'paddlewind_jobs_starts_given_up_total',
    help: 'Starts that were decided on and not sent, by reason.',
    labelNames: ['reason'],
    registers: [registry],
  });
  const relayed = new Counter({
    name: 'paddlewind_jobs_starts_relayed_total',
    help: 'Starts that the leader had another host send, by what became of them.',
    labelNames: ['outcome'],
    registers: [registry],
  });
  const taken = behind(
    'starts_taken',
    'Time until another host had taken starts: what is queued on the links between.',
  );
  const refusals = new Counter({
    name: 'paddlewind_jobs_refused_total',
    help: 'Requests of callers that were refused, by what was asked for and why.',
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
      taken.observe(tookMs / MS_PER_S);
    },
    startGivenUp: reason => {
      givenUp.inc({ reason });
    },
    refused: (what, why) => {
      refusals.inc({ what, why });
    },
    loopDelayed: delay => {
      loopDelay.observe(delay / MS_PER_S);
    },
  };
}

/** Registers what tells of the work that this host does. */
function createWorkMeters(
  registry: Registry,
): Pick<JobMeters, 'answered' | 'called' | 'decided' | 'ended' | 'stopped'> {
  const registers = [registry];
  const requests = new Histogram({
    name: 'paddlewind_jobs_request_duration_seconds',
    help: 'Time until a request of a caller was answered, by method and status.',
    labelNames: ['method', 'status'],
    buckets: SECONDS_BUCKETS,
    registers,
  });
  const calls = new Histogram({
    name: 'paddlewind_jobs_call_duration_seconds',
    help: 'Time until a call to a dependency ended, by call and outcome.',
    labelNames: ['dependency', 'call', 'outcome'],
    buckets: SECONDS_BUCKETS,
    registers,
  });
  const decisions = new Counter({
    name: 'paddlewind_jobs_decisions_total',
    help: 'Records that this host decided on while it led, by kind.',
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

/** Registers gauges that are read when the metrics are asked for. */
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
  add('open', 'Jobs that are not over.', gauges.openJobs);
  add('open_runs', 'Runs that have not ended.', gauges.openRuns);
}
