/** What a leader of the model does: claims, decides, records, orders, looks; after the product's rules. */
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
  viewOf,
  WORKER_NAMES,
  type Append,
  type Host,
  type Lead,
  type Link,
  type Message,
  type Progress,
  type Report,
  type State,
  type View,
} from './states.fixture.test.js';
import type { Answer, Fault } from './worker-steps.fixture.test.js';

/** Largest claim number of a host: numbers of two hosts are far apart. */
const NONCES: Record<string, number> = { A: 100, B: 200 };

/** Returns the state with a host's leadership changed; undefined ends it. */
export function withLead(
  state: State,
  at: number,
  lead: Lead | undefined,
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

/** Returns what a leader's copy tells. */
export function leadView({ known, cancelKnown }: Lead): View {
  return viewOf(known, cancelKnown);
}

/** Returns a leader's link. */
export function linkAt(lead: Lead, worker: number): Link {
  return lead.links[worker === 0 ? 0 : 1];
}

/** Returns the leader with a link changed. */
export function withLink(
  lead: Lead,
  worker: number,
  change: Partial<Link>,
): Lead {
  const [first, second] = lead.links;
  return {
    ...lead,
    links:
      worker === 0
        ? [{ ...first, ...change }, second]
        : [first, { ...second, ...change }],
  };
}

/** Decides: the copy changes at once, the record waits to be written. */
export function decide(lead: Lead, record: JournalRecord): Lead {
  return {
    ...lead,
    known: [...lead.known, record],
    batch: [...lead.batch, record],
  };
}

/** Ends the open run. */
export function decideEnd(lead: Lead, how: RunEnd): Lead {
  const { run } = leadView(lead);
  const record: JournalRecord = {
    kind: 'end',
    task: TASK,
    run,
    how,
    checkpoint: '',
  };
  return { ...decide(lead, record), progress: NO_PROGRESS };
}

/** The claim that a host would append now. */
export function claimOf(state: State, at: number): Append {
  const host = hostAt(state, at);
  const { epoch: before } = viewOf(recordsOf(state.journal), false);
  const epoch = before + 1;
  const nonce = NONCES[host.name] ?? 0;
  const { name } = host;
  return {
    epoch,
    sequence: nonce,
    records: [{ kind: 'claim', epoch, host: name, nonce }],
  };
}

/** The heartbeat that a leader would append now: it tells which workers do not answer. */
export function heartbeatOf(
  state: State,
  host: Host,
  lead: Lead,
): JournalRecord {
  const workers = silentWorkers(lead).flatMap(at => {
    const left = leaseOf(state, host, lead, at).endsBy - state.now;
    const told = [WORKER_NAMES[at === 0 ? 0 : 1], Math.ceil(left)] as const;
    return left < Infinity ? [told] : [];
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

/** Workers that run something, and do not answer. */
export function silentWorkers(lead: Lead): number[] {
  const { run, at } = leadView(lead);
  const { verified, answering } = linkAt(lead, at);
  return run > 0 && !(verified && answering) ? [at] : [];
}

/** Time by which leases that are given after an append of `confirmedAt` have to end. */
function horizonOf({ releasedAt }: Lead, confirmedAt: Instant): Instant {
  const released = releasedAt < 0 ? Infinity : releasedAt + TASK_LEASE_MS;
  return Math.min(confirmedAt + LEASE_HORIZON_MS, released);
}

/** The same for leases that are given now. */
function horizonNow(lead: Lead, fault: Fault): Instant {
  if (fault === 'unconfirmed_lease') {
    return Infinity;
  }
  const releasedAt = fault === 'released_lease' ? -1 : lead.releasedAt;
  return horizonOf({ ...lead, releasedAt }, lead.confirmedAt);
}

/** Takes over after a claim that the log has accepted: reads journal and inbox to their ends. */
export function takeOver(
  state: State,
  at: number,
  claim: Append,
  fault: Fault,
): State {
  const host = hostAt(state, at);
  const all = recordsOf(state.journal);
  const { reads } = readToEnd(host, state);
  const lead: Lead = {
    epoch: claim.epoch,
    sequence: claim.sequence,
    confirmedAt: state.now,
    firstSentAt: -1,
    releasedAt: -1,
    inboxAt: state.now,
    cancelKnown: state.cancelledAt >= 0,
    known: read(all, fault),
    writing: [],
    batch: [],
    progress: NO_PROGRESS,
    links: [NEW_LINK, NEW_LINK],
  };
  return withHost(state, at, { ...host, reads, lead });
}

/** Ends of leases are kept apart, so that copies of alike journals are alike. */
function read(all: readonly JournalRecord[], fault: Fault): JournalRecord[] {
  const records = all.filter(({ kind }) => kind !== 'heartbeat');
  const lastTold = records.findLastIndex(
    ({ kind }) => kind === 'start' || kind === 'end',
  );
  return fault === 'missed_record'
    ? records.filter((_, index) => index !== lastTold)
    : records;
}

/** The append that a leader sends next, the same again until its outcome is known. */
export function nextAppend(lead: Lead): Append {
  const waits = lead.writing.length > 0 ? lead.writing : lead.batch;
  return { epoch: lead.epoch, sequence: lead.sequence + 1, records: waits };
}

/** The leader while the append is under way. */
export function whileWriting(lead: Lead, now: Instant): Lead {
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

/** Appends what waits and takes in the answer; a leader that is refused leads no more. */
export function write(
  state: State,
  at: number,
  lead: Lead,
  fault: Fault,
): State {
  const { journal, kind } = append(state.journal, nextAppend(lead));
  if (kind !== 'appended') {
    return withLead(state, at, undefined);
  }
  const writing = whileWriting(lead, state.now);
  const written: Lead = {
    ...writing,
    writing: [],
    firstSentAt: -1,
    sequence: lead.sequence + 1,
    confirmedAt:
      fault === 'late_confirmation' ? state.now : writing.firstSentAt,
  };
  const acted = writing.writing.reduce(actOn, written);
  return withLead({ ...state, journal }, at, settleEnds(acted));
}

function actOn(lead: Lead, record: JournalRecord): Lead {
  if (record.kind === 'reached') {
    const at = record.worker === WORKER_NAMES[0] ? 0 : 1;
    return withLink(lead, at, { reached: true });
  }
  if (record.kind === 'start' && leadView(lead).run === record.run) {
    const progress: Progress = {
      ...lead.progress,
      order: 'start',
      ordered: true,
    };
    return { ...lead, progress };
  }
  return lead;
}

/** Ends count as recorded once what was decided until they were listed is written. */
export function settleEnds(lead: Lead): Lead {
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

/** Asks to be replaced; leases that are given from now on end with those given before. */
export function release(state: State, lead: Lead): Lead {
  const heldMs = Math.ceil(TASK_LEASE_MS + HORIZON_SLACK_MS);
  const released = { ...lead, releasedAt: state.now };
  return decide(released, { kind: 'release', heldMs });
}

/** Whether the start that waits may be sent. */
export function mayStart(state: State, lead: Lead, fault: Fault): boolean {
  if (fault === 'unchecked_start') {
    return true;
  }
  const { over, status, at } = leadView(lead);
  const { verified, answering, reached } = linkAt(lead, at);
  const leaseLeft = horizonNow(lead, fault) - state.now;
  return (
    !over &&
    status !== 'done' &&
    state.now - lead.inboxAt <= INBOX_STALE_MS &&
    state.now - lead.progress.decidedAt <= MAX_START_WAIT_MS &&
    verified &&
    answering &&
    reached &&
    leaseLeft >= MIN_START_LEASE_MS
  );
}

/** Builds the order that waits, to be sent now. */
export function orderOf(
  state: State,
  host: Host,
  lead: Lead,
  fault: Fault,
): Message {
  const { run, at: to } = leadView(lead);
  const kind = lead.progress.order === 'start' ? 'start' : 'stop';
  const starts = kind === 'start';
  return {
    kind,
    to,
    fence: lead.epoch,
    run,
    sentAt: state.now,
    cancelKnown: lead.cancelKnown,
    leaseUntil: starts ? extended(state, host, lead, to, fault) : 0,
    acknowledged: 0,
  };
}

function extended(
  state: State,
  host: Host,
  lead: Lead,
  to: number,
  fault: Fault,
): Instant {
  const horizon = horizonNow(lead, fault);
  return leaseOf(state, host, lead, to).extend(state.now, horizon);
}

/** The leader that has sent the order which waited. */
export function whileSending(lead: Lead, { to, leaseUntil }: Message): Lead {
  const progress: Progress = { ...lead.progress, order: 'none', decidedAt: 0 };
  return noteLease({ ...lead, progress }, to, leaseUntil);
}

/** Notes the end of a lease that is given. */
export function noteLease(lead: Lead, worker: number, until: Instant): Lead {
  const extendedUntil = Math.max(linkAt(lead, worker).extendedUntil, until);
  return until === 0 ? lead : withLink(lead, worker, { extendedUntil });
}

/** Takes in the answer to an order; `unknown` when none came in time. */
export function takeOrderAnswer(
  lead: Lead,
  message: Message,
  answer: Answer | 'unknown',
): Lead {
  const { run } = leadView(lead);
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
  return answer === 'accepted' ? lead : settleEnds(decideEnd(lead, 'void'));
}

/** Orders the open run to stop; a start that waits is taken back instead. */
export function orderStop(lead: Lead): Lead {
  const { progress } = lead;
  if (progress.order === 'start') {
    return settleEnds(decideEnd(lead, 'void'));
  }
  return {
    ...lead,
    progress: { ...progress, order: 'stop', ordered: true, stopping: true },
  };
}

/** Builds the look that a leader sends now. */
export function lookOf(
  state: State,
  host: Host,
  lead: Lead,
  to: number,
  fault: Fault,
): Message {
  const { reached, answering, recordedUpTo, listedUpTo } = linkAt(lead, to);
  const extend = reached && answering && horizonNow(lead, fault) > state.now;
  return {
    kind: 'look',
    to,
    fence: lead.epoch,
    run: 0,
    sentAt: state.now,
    cancelKnown: lead.cancelKnown,
    leaseUntil: extend ? extended(state, host, lead, to, fault) : 0,
    acknowledged: fault === 'early_acknowledgement' ? listedUpTo : recordedUpTo,
  };
}

/** Takes in that a look had no answer: the run there is given up once its lease has lapsed. */
export function takeSilence(
  state: State,
  host: Host,
  lead: Lead,
  worker: number,
  fault: Fault,
): Lead {
  const silent = withLink(lead, worker, { answering: false });
  const { run, at } = leadView(silent);
  if (run === 0 || at !== worker) {
    return silent;
  }
  const lapsed =
    fault === 'early_give_up' ||
    leaseOf(state, host, silent, worker).hasLapsed(state.now);
  if (lapsed && fault !== 'never_given_up') {
    return decideEnd(silent, 'lapsed');
  }
  return silent.progress.order === 'start' ? decideEnd(silent, 'void') : silent;
}

/** Takes in a report. */
export function takeReport(state: State, lead: Lead, worker: number): Lead {
  const { report, firstClock } = linkAt(lead, worker);
  if (report === undefined) {
    return lead;
  }
  const heard = withLink(lead, worker, {
    report: undefined,
    answering: true,
    acknowledgedUpTo: report.acknowledged,
    answeredAt: state.now,
    clock: report.clock,
    firstClock: firstClock < 0 ? report.clock : firstClock,
  });
  const settled = takeRun(heard, worker, report);
  const known = recordReached(
    withLink(settled, worker, { verified: true }),
    worker,
  );
  const last = report.ended.at(-1)?.position ?? 0;
  return last > linkAt(known, worker).recordedUpTo
    ? settleEnds(
        withLink(known, worker, { listedUpTo: last, recordedWith: 'batch' }),
      )
    : known;
}

/** Records that a worker was reached, unless that is known or waits to be written. */
function recordReached(lead: Lead, at: number): Lead {
  const worker = WORKER_NAMES[at === 0 ? 0 : 1];
  const waits = [...lead.writing, ...lead.batch].some(
    record => record.kind === 'reached' && record.worker === worker,
  );
  return waits || linkAt(lead, at).reached
    ? lead
    : decide(lead, { kind: 'reached', worker });
}

function takeRun(lead: Lead, worker: number, report: Report): Lead {
  const { run, at } = leadView(lead);
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
  // A start that this leader has decided on and not ordered yet is none of an earlier one.
  const earlier = !ordered && !verified;
  const neverBegan = earlier || (stopConfirmed && report.afterStop);
  return neverBegan ? decideEnd(lead, 'void') : lead;
}
