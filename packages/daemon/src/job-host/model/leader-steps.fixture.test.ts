/**
 * The leader of the model: it claims, decides, records, sends orders and polls by the rules of the
 * product.
 */
import { UNKNOWN_SPAN, type Instant } from '@paddlewind/domain';
import type { JournalRecord, RunEnd } from '@paddlewind/domain/jobs';

import {
  HORIZON_SLACK_MS,
  INBOX_STALE_MS,
  LEASE_HORIZON_MS,
  MIN_START_LEASE_MS,
  MAX_START_WAIT_MS,
  TASK_LEASE_MS,
} from '../timing.js';
import {
  append,
  leaseEndsOf,
  leaseOf,
  NEW_LINK,
  NO_PROGRESS,
  readToEnd,
  recordsOf,
  TASK,
  taskViewOf,
  WORKER_NAMES,
  type Append,
  type Host,
  type LeaderState,
  type Link,
  type Message,
  type Progress,
  type Report,
  type State,
  type TaskView,
} from './states.fixture.test.js';
import type { Answer, InjectedFault } from './worker-steps.fixture.test.js';

/** Largest nonce of each host's claims; the nonces of the two hosts are far apart. */
const NONCES: Record<string, number> = { A: 100, B: 200 };

/** Returns the state with the leadership of a host replaced; undefined ends it. */
export function withLeader(
  state: State,
  at: number,
  lead: LeaderState | undefined,
): State {
  return withHost(state, at, { ...hostAt(state, at), lead });
}

/** Returns a host. */
export function hostAt(state: State, at: number): Host {
  return state.hosts[at === 0 ? 0 : 1];
}

/** Returns the state with a host replaced. */
export function withHost(state: State, at: number, host: Host): State {
  const [first, second] = state.hosts;
  return { ...state, hosts: at === 0 ? [host, second] : [first, host] };
}

/** Returns the task as the leader's copy shows it. */
export function leaderView({ copy, cancelKnown }: LeaderState): TaskView {
  return taskViewOf(copy, cancelKnown);
}

/** Returns a leader's link. */
export function linkAt(lead: LeaderState, worker: number): Link {
  return lead.links[worker === 0 ? 0 : 1];
}

/** Returns the leader with a link changed. */
export function withLink(
  lead: LeaderState,
  worker: number,
  change: Partial<Link>,
): LeaderState {
  const [first, second] = lead.links;
  return {
    ...lead,
    links:
      worker === 0
        ? [{ ...first, ...change }, second]
        : [first, { ...second, ...change }],
  };
}

/** Decides on a record: the copy changes at once, the record waits to be written. */
export function decide(lead: LeaderState, record: JournalRecord): LeaderState {
  return {
    ...lead,
    copy: [...lead.copy, record],
    batch: [...lead.batch, record],
  };
}

/** Ends the open run. */
export function decideEnd(lead: LeaderState, how: RunEnd): LeaderState {
  const { run } = leaderView(lead);
  const record: JournalRecord = {
    kind: 'end',
    task: TASK,
    run,
    how,
    checkpoint: '',
  };
  return { ...decide(lead, record), progress: NO_PROGRESS };
}

/** Returns the claim that a host would append now. */
export function claimOf(state: State, at: number): Append {
  const host = hostAt(state, at);
  const { epoch: before } = taskViewOf(recordsOf(state.journal), false);
  const epoch = before + 1;
  const nonce = NONCES[host.name] ?? 0;
  const { name } = host;
  return {
    epoch,
    sequence: nonce,
    records: [{ kind: 'claim', epoch, host: name, nonce }],
  };
}

/** Returns the heartbeat that a leader would append now, with the workers that do not answer. */
export function heartbeatOf(
  state: State,
  host: Host,
  lead: LeaderState,
): JournalRecord {
  const workers = silentWorkers(lead).flatMap(at => {
    const leftMs = leaseOf(state, host, lead, at).endsBy - state.now;
    const entry = [WORKER_NAMES[at === 0 ? 0 : 1], Math.ceil(leftMs)] as const;
    return leftMs < Infinity ? [entry] : [];
  });
  const heldMs = horizonOf(lead, state.now) - state.now + HORIZON_SLACK_MS;
  const { epoch } = lead;
  const ends = leaseEndsOf(host, state);
  const known = ends.leasesToHandOver(epoch, Math.ceil(heldMs), state.now);
  const handed = known && { ...known, workers };
  return {
    kind: 'heartbeat',
    epoch,
    host: host.name,
    nonce: 0,
    handed,
    standbys: undefined,
    address: '',
    ledForMs: undefined,
    silence: UNKNOWN_SPAN,
  };
}

/** Returns the workers that run something and do not answer. */
export function silentWorkers(lead: LeaderState): number[] {
  const { run, at } = leaderView(lead);
  const { verified, answering } = linkAt(lead, at);
  return run > 0 && !(verified && answering) ? [at] : [];
}

/** Returns the time by which leases given after an append at `confirmedAt` have to end. */
function horizonOf({ releasedAt }: LeaderState, confirmedAt: Instant): Instant {
  const released = releasedAt < 0 ? Infinity : releasedAt + TASK_LEASE_MS;
  return Math.min(confirmedAt + LEASE_HORIZON_MS, released);
}

/** Returns the time by which leases given now have to end. */
function horizonNow(lead: LeaderState, fault: InjectedFault): Instant {
  if (fault === 'unconfirmed_lease') {
    return Infinity;
  }
  const releasedAt = fault === 'released_lease' ? -1 : lead.releasedAt;
  return horizonOf({ ...lead, releasedAt }, lead.confirmedAt);
}

/** Takes over after the log has accepted a claim: reads journal and inbox to their ends. */
export function takeOver(
  state: State,
  at: number,
  claim: Append,
  fault: InjectedFault,
): State {
  const host = hostAt(state, at);
  const all = recordsOf(state.journal);
  const { journalReads } = readToEnd(host, state);
  const lead: LeaderState = {
    epoch: claim.epoch,
    sequence: claim.sequence,
    confirmedAt: state.now,
    firstSentAt: -1,
    releasedAt: -1,
    inboxAt: state.now,
    cancelKnown: state.cancelledAt >= 0,
    copy: copyOf(all, fault),
    writing: [],
    batch: [],
    progress: NO_PROGRESS,
    links: [NEW_LINK, NEW_LINK],
  };
  return withHost(state, at, { ...host, journalReads, lead });
}

/**
 * Heartbeats are left out, since the ends of leases are kept elsewhere; so copies of equivalent
 * journals are equal.
 */
function copyOf(
  all: readonly JournalRecord[],
  fault: InjectedFault,
): JournalRecord[] {
  const records = all.filter(({ kind }) => kind !== 'heartbeat');
  const lastDecision = records.findLastIndex(
    ({ kind }) => kind === 'start' || kind === 'end',
  );
  return fault === 'missed_record'
    ? records.filter((_, index) => index !== lastDecision)
    : records;
}

/** Returns the leader's next append, which is repeated until its outcome is known. */
export function nextAppend(lead: LeaderState): Append {
  const pending = lead.writing.length > 0 ? lead.writing : lead.batch;
  return { epoch: lead.epoch, sequence: lead.sequence + 1, records: pending };
}

/** Returns the leader with its append in flight. */
export function withWriteInFlight(
  lead: LeaderState,
  now: Instant,
): LeaderState {
  if (lead.writing.length > 0) {
    return lead;
  }
  const links = lead.links.map(link => ({
    ...link,
    recordedWith: 'writing' as const,
  }));
  return {
    ...lead,
    firstSentAt: now,
    writing: lead.batch,
    batch: [],
    links: [links[0] ?? NEW_LINK, links[1] ?? NEW_LINK],
  };
}

/** Writes the waiting records and handles the answer; a leader that is refused no longer leads. */
export function write(
  state: State,
  at: number,
  lead: LeaderState,
  fault: InjectedFault,
): State {
  const { journal, kind } = append(state.journal, nextAppend(lead));
  if (kind !== 'appended') {
    return withLeader(state, at, undefined);
  }
  const writing = withWriteInFlight(lead, state.now);
  const written: LeaderState = {
    ...writing,
    writing: [],
    firstSentAt: -1,
    sequence: lead.sequence + 1,
    confirmedAt:
      fault === 'late_confirmation' ? state.now : writing.firstSentAt,
  };
  const acted = writing.writing.reduce(applyWritten, written);
  return withLeader({ ...state, journal }, at, markRecordedEnds(acted));
}

function applyWritten(lead: LeaderState, record: JournalRecord): LeaderState {
  if (record.kind === 'reached') {
    const at = record.worker === WORKER_NAMES[0] ? 0 : 1;
    return withLink(lead, at, { reached: true });
  }
  if (record.kind === 'start' && leaderView(lead).run === record.run) {
    const progress: Progress = {
      ...lead.progress,
      order: 'start',
      ordered: true,
    };
    return { ...lead, progress };
  }
  return lead;
}

/** Marks ends as recorded once all decisions made before they were listed are written. */
export function markRecordedEnds(lead: LeaderState): LeaderState {
  return [0, 1].reduce((next, at) => {
    const { listedUpTo, recordedUpTo, recordedWith } = linkAt(next, at);
    const open =
      recordedWith === 'writing'
        ? next.writing.length > 0
        : next.writing.length + next.batch.length > 0;
    return open
      ? next
      : withLink(next, at, {
          recordedUpTo: Math.max(listedUpTo, recordedUpTo),
          recordedWith: 'batch',
        });
  }, lead);
}

/** Releases the leadership; leases that are given from now on end no later than those given before. */
export function release(state: State, lead: LeaderState): LeaderState {
  const heldMs = Math.ceil(TASK_LEASE_MS + HORIZON_SLACK_MS);
  const released = { ...lead, releasedAt: state.now };
  return decide(released, { kind: 'release', heldMs });
}

/** Whether the waiting start may be sent. */
export function mayStart(
  state: State,
  lead: LeaderState,
  fault: InjectedFault,
): boolean {
  if (fault === 'unchecked_start') {
    return true;
  }
  const { isFinished, status, at } = leaderView(lead);
  const { verified, answering, reached } = linkAt(lead, at);
  const leaseLeft = horizonNow(lead, fault) - state.now;
  return (
    !isFinished &&
    status !== 'done' &&
    state.now - lead.inboxAt <= INBOX_STALE_MS &&
    state.now - lead.progress.decidedAt <= MAX_START_WAIT_MS &&
    verified &&
    answering &&
    reached &&
    leaseLeft >= MIN_START_LEASE_MS
  );
}

/** Builds the waiting order, to be sent now. */
export function orderOf(
  state: State,
  host: Host,
  lead: LeaderState,
  fault: InjectedFault,
): Message {
  const { run, at: to } = leaderView(lead);
  const kind = lead.progress.order === 'start' ? 'start' : 'stop';
  const starts = kind === 'start';
  return {
    kind,
    to,
    fence: lead.epoch,
    run,
    sentAt: state.now,
    cancelKnown: lead.cancelKnown,
    leaseUntil: starts ? extendedLease(state, host, lead, to, fault) : 0,
    acknowledged: 0,
  };
}

function extendedLease(
  state: State,
  host: Host,
  lead: LeaderState,
  to: number,
  fault: InjectedFault,
): Instant {
  const horizon = horizonNow(lead, fault);
  return leaseOf(state, host, lead, to).extend(state.now, horizon);
}

/** Returns the leader after it has sent the waiting order. */
export function afterSending(
  lead: LeaderState,
  { to, leaseUntil }: Message,
): LeaderState {
  const progress: Progress = { ...lead.progress, order: 'none', decidedAt: 0 };
  return recordLease({ ...lead, progress }, to, leaseUntil);
}

/** Records the end of a lease that was given. */
export function recordLease(
  lead: LeaderState,
  worker: number,
  until: Instant,
): LeaderState {
  const extendedUntil = Math.max(linkAt(lead, worker).extendedUntil, until);
  return until === 0 ? lead : withLink(lead, worker, { extendedUntil });
}

/** Handles the answer to an order; `unknown` if none came in time. */
export function handleOrderAnswer(
  lead: LeaderState,
  message: Message,
  answer: Answer | 'unknown',
): LeaderState {
  const { run } = leaderView(lead);
  if (run !== message.run || answer === 'fenced') {
    return lead;
  }
  if (answer === 'unknown') {
    return message.kind === 'start'
      ? orderStop(withLink(lead, message.to, { answering: false }))
      : orderStop(lead);
  }
  if (message.kind === 'stop') {
    return { ...lead, progress: { ...lead.progress, stopConfirmed: true } };
  }
  return answer === 'accepted'
    ? lead
    : markRecordedEnds(decideEnd(lead, 'void'));
}

/** Orders the open run to stop; a start that still waits is withdrawn instead. */
export function orderStop(lead: LeaderState): LeaderState {
  const { progress } = lead;
  if (progress.order === 'start') {
    return markRecordedEnds(decideEnd(lead, 'void'));
  }
  return {
    ...lead,
    progress: { ...progress, order: 'stop', ordered: true, stopping: true },
  };
}

/** Builds the poll that a leader sends now. */
export function pollOf(
  state: State,
  host: Host,
  lead: LeaderState,
  to: number,
  fault: InjectedFault,
): Message {
  const { reached, answering, recordedUpTo, listedUpTo } = linkAt(lead, to);
  const extend = reached && answering && horizonNow(lead, fault) > state.now;
  return {
    kind: 'poll',
    to,
    fence: lead.epoch,
    run: 0,
    sentAt: state.now,
    cancelKnown: lead.cancelKnown,
    leaseUntil: extend ? extendedLease(state, host, lead, to, fault) : 0,
    acknowledged: fault === 'early_acknowledgement' ? listedUpTo : recordedUpTo,
  };
}

/** Handles a poll without an answer: the run on that worker is abandoned once its lease has expired. */
export function handleSilence(
  state: State,
  host: Host,
  lead: LeaderState,
  worker: number,
  fault: InjectedFault,
): LeaderState {
  const silent = withLink(lead, worker, { answering: false });
  const { run, at } = leaderView(silent);
  if (run === 0 || at !== worker) {
    return silent;
  }
  const hasExpired =
    fault === 'early_abandonment' ||
    leaseOf(state, host, silent, worker).hasExpired(state.now);
  if (hasExpired && fault !== 'never_abandoned') {
    return decideEnd(silent, 'lapsed');
  }
  return silent.progress.order === 'start' ? decideEnd(silent, 'void') : silent;
}

/** Handles a report. */
export function handleReport(
  state: State,
  lead: LeaderState,
  worker: number,
): LeaderState {
  const { report, firstClock } = linkAt(lead, worker);
  if (report === undefined) {
    return lead;
  }
  const answered = withLink(lead, worker, {
    report: undefined,
    answering: true,
    acknowledgedUpTo: report.acknowledged,
    answeredAt: state.now,
    clock: report.clock,
    firstClock: firstClock < 0 ? report.clock : firstClock,
  });
  const settled = handleReportedRun(answered, worker, report);
  const known = recordReached(
    withLink(settled, worker, { verified: true }),
    worker,
  );
  const last = report.ended.at(-1)?.position ?? 0;
  return last > linkAt(known, worker).recordedUpTo
    ? markRecordedEnds(
        withLink(known, worker, { listedUpTo: last, recordedWith: 'batch' }),
      )
    : known;
}

/** Records that a worker was reached, unless that is known or waits to be written. */
function recordReached(lead: LeaderState, at: number): LeaderState {
  const worker = WORKER_NAMES[at === 0 ? 0 : 1];
  const isPending = [...lead.writing, ...lead.batch].some(
    record => record.kind === 'reached' && record.worker === worker,
  );
  return isPending || linkAt(lead, at).reached
    ? lead
    : decide(lead, { kind: 'reached', worker });
}

function handleReportedRun(
  lead: LeaderState,
  worker: number,
  report: Report,
): LeaderState {
  const { run, at } = leaderView(lead);
  if (run === 0 || at !== worker) {
    return lead;
  }
  const ended = report.ended.find(listed => listed.run === run);
  if (ended !== undefined) {
    return decideEnd(lead, ended.how);
  }
  if (report.active.includes(run)) {
    return { ...lead, progress: { ...lead.progress, ordered: true } };
  }
  const { verified } = linkAt(lead, worker);
  const { ordered, stopConfirmed } = lead.progress;
  // A start that this leader has planned but not yet sent can't be an earlier leader's.
  const earlier = !ordered && !verified;
  const neverBegan = earlier || (stopConfirmed && report.afterStop);
  return neverBegan ? decideEnd(lead, 'void') : lead;
}
