/** Spans of the job host, each with its reason; all in milliseconds. */
import type { Millis } from '@paddlewind/domain';

/** How often a follower reads the journal: a third of the silence after which it claims. */
export const JOURNAL_READ_INTERVAL_MS: Millis = 300;
/** How often a host that does not stand by reads the summary: contact is lost after two and a half of it. */
export const SUMMARY_READ_INTERVAL_MS: Millis = 500;
/** Pause between writes of the summary: a tenth of what callers of the quickest jobs wait. */
export const SUMMARY_WRITE_INTERVAL_MS: Millis = 40;
/**
 * Silence of the summary after which a host that does not stand by begins to read the journal, to lead if
 * need be: those that stand by have taken over within 2 s.
 */
export const SUMMARY_SILENCE_TIMEOUT_MS: Millis = 3_000;
/** Spread of what many hosts would else do at once: read the whole journal, offer to stand by. */
export const ROLE_CHANGE_JITTER_MS: Millis = 2_000;
/**
 * How often the leader writes a snapshot of the summary: a host that starts reads one and what follows it,
 * also when the log has been made to drop all older records. Some 25 KB each, which nobody else reads.
 */
export const SNAPSHOT_INTERVAL_MS: Millis = 5_000;
/** How often a host that may stand by says so: a third of the time after which it is taken to be gone. */
export const STANDBY_OFFER_INTERVAL_MS: Millis = 4_000;
/** A leader with nothing to write writes a heartbeat this often, so that two may be lost. */
export const HEARTBEAT_EVERY_MS: Millis = 300;
/**
 * A leader says who leads, and until when leases of the last ones hold, at least this often, also while it
 * writes other records: a host that starts anew may count leases for this much too long.
 */
export const CLAIM_INTERVAL_MS: Millis = 1_000;
/** Share of the log's retention after which a job is restated, so that two tries may fail. */
export const RESTATE_RETENTION_FRACTION = 1 / 3;
/** Most jobs that one append restates: with some 4 KB each it stays far below its limit. */
export const RESTATE_BATCH = 50;
/** How often jobs that have long been over are forgotten. */
export const FINISHED_JOB_CLEANUP_INTERVAL_MS: Millis = 10_000;
/** Silence of the journal after which the leader is taken to be gone. */
export const LEADER_SILENCE_TIMEOUT_MS: Millis = 1_000;
/** Spread of claims, so that followers rarely claim at the same moment. */
export const CLAIM_SPREAD_MS: Millis = 200;
/** Processors below which a host is small: to lead 350 workers takes 0.4 of a core, as simulated. */
export const MIN_LEADER_CORES = 0.5;
/** How long small hosts leave a claim to larger ones: these spread theirs over 200 ms, and read every 300 ms. */
export const SMALL_HOST_DELAY_MS: Millis = 600;
/** Pause before an append that the log refused is sent again. */
export const APPEND_RETRY_DELAY_MS: Millis = 100;
/**
 * Time without an answer after which an append of the leader is sent once more, beside the one that is under
 * way: a sound log answers in some 10 ms, and one that was silent takes it this much later at the most.
 */
export const APPEND_AGAIN_MS: Millis = 450;
/**
 * Longest wait of the leader's read of the inbox: two reads, each with the 350 ms of a slow log, stay
 * below the age at which the inbox counts as stale.
 */
export const INBOX_WAIT_MS: Millis = 700;
/** How often the leader reads the registry of workers. */
export const REGISTRY_EVERY_MS: Millis = 400;
/**
 * A leader that could not read the registry for this long sends no start: a worker may have begun to
 * leave, and nothing may begin there later than 2 s after it said so; an order takes up to 0.5 s.
 */
export const REGISTRY_STALE_MS: Millis = 1_500;
/**
 * Longest wait of a start between its decision and its sending: by then its task is better off elsewhere,
 * and callers are told that the job waits.
 */
export const MAX_START_WAIT_MS: Millis = 1_500;
/** How long a worker that takes long to answer orders is given no further run. */
export const SLOW_WORKER_MS: Millis = 2_000;
/**
 * How often the leader records what it has learnt, so that one that is killed leaves that much behind:
 * pressures change within seconds, and a record of some hundred pairs takes 5 KB.
 */
export const LEARNT_EVERY_MS: Millis = 2_000;
/** How often the leader accounts for its fleet: a line of the log and the gauges each time. */
export const ACCOUNT_EVERY_MS: Millis = 1_000;
/** How often the leader plans without an event, for what only time changes. */
export const PLAN_EVERY_MS: Millis = 250;
/**
 * After a round that took longer the leader rests for as long as it took: looks, leases and answers keep
 * half of the processor. Rounds of 350 workers take some 3 ms, of 1,000 some 13 (simulated, 20 and 60 jobs a second).
 */
export const LONG_ROUND_MS: Millis = 10;
/** How long a worker may wait for an end before it reports. */
export const LOOK_WAIT_MS: Millis = 1_000;
/** The same for a worker whose fillers are close to disturbing a task that serves there. */
export const TIGHT_LOOK_WAIT_MS: Millis = 350;
/** Time for the answer to a look beyond its wait; a sound worker answers in a few milliseconds. */
export const LOOK_SLACK_MS: Millis = 400;
/** The same for a worker whose answers were seen to take longer: it is noticed this much later that it is lost. */
export const MAX_LOOK_SLACK_MS: Millis = 1_500;
/** Pause before a worker that did not answer is looked at again. */
export const LOOK_RETRY_MS: Millis = 200;
/** Pause between looks while recorded ends cannot be acknowledged. */
export const UNRECORDED_LOOK_MS: Millis = 500;
/** Lease given to workers: outlives a change of the leader (about 2 s) and two lost looks. */
export const TASK_LEASE_MS: Millis = 5_000;
/**
 * Leases that a leader gives end at most this long after its last confirmed append was sent. Running tasks
 * outlive a log that is silent for 6 s, or refuses for 7 s (simulated); a task whose worker is lost with
 * its leader is away for some 8.5 s, and its users allow 9 s.
 */
export const LEASE_HORIZON_MS: Millis = 8_000;
/** Shortest lease with which a start is sent: a new leader that takes over meanwhile extends it in time. */
export const MIN_START_LEASE_MS: Millis = 2_000;
/** Longest wait of a look while the lease can't be extended, or not in full, so that it is as soon as it can be. */
export const SHORT_LEASE_LOOK_MS: Millis = 250;
/** Time for an answer of the advice service beyond what it says it takes. */
export const ADVICE_SLACK_MS: Millis = 500;
/** Pause before the advice service is asked again after it did not answer. */
export const ADVICE_RETRY_MS: Millis = 200;
/** Slowest clock of a worker, as a share of true time. */
export const SLOWEST_CLOCK = 0.98;
/** Margin on every computed end of a lease. */
export const LEASE_MARGIN_MS: Millis = 100;
/** How much later than at its leader's horizon a lease may end: the worker's clock may be slow. */
export const HORIZON_SLACK_MS: Millis =
  TASK_LEASE_MS / SLOWEST_CLOCK - TASK_LEASE_MS + LEASE_MARGIN_MS;
/** How long leases of a leader may hold after its last record. */
export const MAX_LEASE_AFTER_LAST_RECORD_MS: Millis =
  LEASE_HORIZON_MS + HORIZON_SLACK_MS;
/** The same for a leader that does not say so: one that extended leases for 4 s, and by 5 s each time. */
export const LONGEST_HELD_UNTOLD_MS: Millis =
  4_000 + TASK_LEASE_MS + HORIZON_SLACK_MS;
/** Most workers of which a leader tells the ends of leases: 3 KB; others wait for the ends of all it gave. */
export const MAX_TOLD_WORKERS = 100;
/** How soon a leader tells of a worker that has ceased to answer, at most this often. */
export const TELL_SILENCE_MS: Millis = 100;
/** Without contact to the log for this long, callers are sent to other hosts at once. */
export const LOG_CONTACT_TIMEOUT_MS: Millis = 1_200;
/** Pause before a stop that was not confirmed is ordered again. */
export const STOP_RETRY_MS: Millis = 200;
/** Pause before the inbox is read again while the log does not answer. */
export const INBOX_RETRY_DELAY_MS: Millis = 200;
/**
 * A leader that could not read the inbox for this long plans and sends no start: jobs may have been
 * cancelled, and nothing of them may begin later than 3 s after that; an order takes up to 0.5 s.
 */
export const INBOX_STALE_MS: Millis = 2_500;
