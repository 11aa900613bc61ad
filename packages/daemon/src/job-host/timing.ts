/** Time constants of the job host, each with its reason. */
import type { Millis } from '@paddlewind/domain';

/** Interval at which a follower reads the journal: a third of the silence after which it claims. */
export const JOURNAL_READ_INTERVAL_MS: Millis = 300;
/**
 * Interval at which a host that is not a standby reads the summary; contact counts as lost after two and a
 * half intervals.
 */
export const SUMMARY_READ_INTERVAL_MS: Millis = 500;
/** Interval between writes of the summary: a tenth of the time that callers of the fastest jobs wait. */
export const SUMMARY_WRITE_INTERVAL_MS: Millis = 40;
/**
 * Silence of the summary after which a host that is not a standby reads the journal, to lead if necessary.
 * Standbys take over within 2 s.
 */
export const SUMMARY_SILENCE_TIMEOUT_MS: Millis = 3_000;
/**
 * Jitter of actions that many hosts would otherwise take at once: reading the whole journal, offering to be a
 * standby.
 */
export const ROLE_CHANGE_JITTER_MS: Millis = 2_000;
/**
 * Interval at which the leader writes a snapshot of the summary. A starting host reads one and the records
 * after it, even if all older records were dropped from the log. A snapshot has some 25 KB, and other hosts
 * don't read it.
 */
export const SNAPSHOT_INTERVAL_MS: Millis = 5_000;
/** Interval at which a host offers to be a standby: a third of the time after which it counts as gone. */
export const STANDBY_OFFER_INTERVAL_MS: Millis = 4_000;
/** Interval of heartbeats from an otherwise idle leader; two may be lost. */
export const IDLE_HEARTBEAT_MS: Millis = 300;
/**
 * Maximum interval at which a leader reports the leadership and the leases of earlier leaders, even while it
 * writes other records. A restarted host may count leases for up to this much too long.
 */
export const CLAIM_INTERVAL_MS: Millis = 1_000;
/** Fraction of the log's retention after which a job is restated, so that two attempts may fail. */
export const RESTATE_RETENTION_FRACTION = 1 / 3;
/**
 * Maximum number of jobs restated by one append: with some 4 KB each it stays far below the limit of an
 * append.
 */
export const MAX_RESTATED_JOBS = 50;
/** Interval at which old finished jobs are removed from memory. */
export const FINISHED_JOB_CLEANUP_INTERVAL_MS: Millis = 10_000;
/** Silence of the journal after which the leader counts as gone. */
export const LEADER_SILENCE_TIMEOUT_MS: Millis = 1_000;
/** Jitter of claims, so that followers rarely claim at the same moment. */
export const CLAIM_JITTER_MS: Millis = 200;
/**
 * Number of processors below which a host is small: leading 350 workers takes 0.4 of a core in simulation.
 */
export const MIN_LEADER_CORES = 0.5;
/**
 * How long small hosts leave a claim to larger ones, which spread theirs over 200 ms and read every 300 ms.
 */
export const SMALL_HOST_CLAIM_DELAY_MS: Millis = 600;
/** Delay before an append that the log refused is sent again. */
export const APPEND_RETRY_DELAY_MS: Millis = 100;
/**
 * Time without an answer after which the leader sends an append again, in parallel with the first one. A
 * healthy log answers in some 10 ms; after an outage of the log, the append is written at most this much
 * later.
 */
export const APPEND_RESEND_AFTER_MS: Millis = 450;
/**
 * Maximum wait of the leader's read of the inbox: two reads, each with the 350 ms of a slow log, stay below
 * the age at which the inbox counts as stale.
 */
export const INBOX_READ_WAIT_MS: Millis = 700;
/** Interval at which the leader reads the registry of workers. */
export const REGISTRY_READ_INTERVAL_MS: Millis = 400;
/**
 * A leader that could not read the registry for this long sends no starts. A worker may have announced its
 * departure, and nothing may start there more than 2 s after that; an order takes up to 0.5 s.
 */
export const REGISTRY_STALE_MS: Millis = 1_500;
/**
 * Maximum time between the decision on a start and its sending. After that the task is better placed
 * elsewhere, and callers are told that the job waits.
 */
export const MAX_START_WAIT_MS: Millis = 1_500;
/** How long a worker that is slow to answer orders is assigned no further run. */
export const SLOW_WORKER_PAUSE_MS: Millis = 2_000;
/**
 * Interval at which the leader records learned statistics, which limits what is lost if it is killed:
 * pressures change within seconds, and a record of some hundred pairs takes 5 KB.
 */
export const LEARNED_RECORD_INTERVAL_MS: Millis = 2_000;
/** Interval at which the leader accounts for its fleet: one log line and an update of the gauges. */
export const FLEET_ACCOUNT_INTERVAL_MS: Millis = 1_000;
/** The same at the least while the leader's processor is used up. */
export const SATURATED_ACCOUNT_INTERVAL_MS: Millis = 5_000;
/** Interval at which the leader plans without an event, for changes that only depend on time. */
export const PLAN_INTERVAL_MS: Millis = 250;
/**
 * A planning round that takes longer is followed by a pause of the same length, so that polls, leases and
 * answers keep half of the processor. Rounds take some 3 ms with 350 workers and some 13 ms with 1,000
 * (simulated, 20 and 60 jobs a second).
 */
export const LONG_ROUND_MS: Millis = 10;
/** How long a worker may wait for an end before it reports. */
export const POLL_WAIT_MS: Millis = 1_000;
/** The same at the most, in a large fleet; workers wait no longer. */
export const MAX_POLL_WAIT_MS: Millis = 2_000;
/**
 * Polls of workers with nothing to report that a leader sends in a second, so that polls alone do not take all
 * of its processor. In larger fleets workers wait longer.
 */
export const MAX_QUIET_POLLS_PER_S = 1_200;
/**
 * Interval at which a saturated leader looks for runs that nobody needs or that stand still: a small part of the
 * time in which a cancelled task has to be gone.
 */
export const SATURATED_SUPERVISION_INTERVAL_MS: Millis = 200;
/**
 * Most polls that a saturated leader sends in a second while its decisions are in time: with fewer polls each
 * answer tells of more ends.
 */
export const MAX_SATURATED_POLLS_PER_S = 900;
/** How long a worker waits whose fillers are close to disturbing a serving task. */
export const SHORT_POLL_WAIT_MS: Millis = 350;
/** Timeout of a poll beyond its wait; a healthy worker answers in a few milliseconds. */
export const POLL_TIMEOUT_MS: Millis = 400;
/** The same for a worker whose answers have taken longer; its loss is noticed this much later. */
export const MAX_POLL_TIMEOUT_MS: Millis = 1_500;
/** Delay before a worker that did not answer is polled again. */
export const POLL_RETRY_DELAY_MS: Millis = 200;
/** Delay between polls while recorded ends cannot be acknowledged. */
export const UNRECORDED_ENDS_POLL_DELAY_MS: Millis = 500;
/** Lease of workers: outlasts a change of the leader (about 2 s) and two lost polls. */
export const TASK_LEASE_MS: Millis = 5_000;
/**
 * Leases that a leader grants end at most this long after its last confirmed append was sent. Running tasks
 * survive a log that is silent for 6 s, or refuses for 7 s (simulated). A task whose worker is lost together
 * with the leader is unavailable for some 8.5 s, and its users tolerate 9 s.
 */
export const LEASE_HORIZON_MS: Millis = 8_000;
/** Minimum lease with which a start is sent: a new leader that takes over meanwhile extends it in time. */
export const MIN_START_LEASE_MS: Millis = 2_000;
/**
 * Maximum wait of a poll while the lease can't be extended, or only in part, so that it is extended as soon
 * as possible.
 */
export const SHORT_LEASE_POLL_WAIT_MS: Millis = 250;
/** Timeout of the advice service beyond its own estimate. */
export const ADVICE_EXTRA_TIME_MS: Millis = 500;
/** Delay before the advice service is asked again after it did not answer. */
export const ADVICE_RETRY_MS: Millis = 200;
/** Slowest rate of a worker's clock relative to true time. */
export const MIN_CLOCK_RATE = 0.98;
/** Margin added to every computed end of a lease. */
export const LEASE_MARGIN_MS: Millis = 100;
/** How much later than its leader's horizon a lease may end, since the worker's clock may be slow. */
export const HORIZON_SLACK_MS: Millis =
  TASK_LEASE_MS / MIN_CLOCK_RATE - TASK_LEASE_MS + LEASE_MARGIN_MS;
/** How long leases of a leader may hold after its last record. */
export const MAX_LEASE_AFTER_LAST_RECORD_MS: Millis =
  LEASE_HORIZON_MS + HORIZON_SLACK_MS;
/**
 * The same for a leader that does not report a value: one that extended leases for 4 s, and by 5 s each time.
 */
export const DEFAULT_MAX_LEASE_AFTER_LAST_RECORD_MS: Millis =
  4_000 + TASK_LEASE_MS + HORIZON_SLACK_MS;
/**
 * Maximum number of workers whose lease ends a leader reports: 3 KB. The runs of others wait until all leases
 * of that leader have expired.
 */
export const MAX_REPORTED_WORKERS = 100;
/** Minimum interval between reports of workers that have become unresponsive. */
export const SILENCE_REPORT_MS: Millis = 100;
/** Time without contact to the log after which callers are redirected to other hosts at once. */
export const LOG_CONTACT_TIMEOUT_MS: Millis = 1_200;
/** Delay before an unconfirmed stop is ordered again. */
export const STOP_RETRY_DELAY_MS: Millis = 200;
/** Delay before the inbox is read again while the log does not answer. */
export const INBOX_RETRY_DELAY_MS: Millis = 200;
/**
 * A leader that could not read the inbox for this long plans no runs and sends no starts. Jobs may have been
 * cancelled, and none of their tasks may start more than 3 s after that; an order takes up to 0.5 s.
 */
export const INBOX_STALE_MS: Millis = 2_500;

/**
 * Time without an answer to an append of the journal after which the log is reported as unavailable. An append
 * takes milliseconds while the log answers.
 */
export const WRITE_OVERDUE_MS: Millis = 500;
