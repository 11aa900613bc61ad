/** All steps that can follow a state of the model. */
import type { Instant } from '@paddlewind/domain';

import { INBOX_STALE_MS } from '../timing.js';
import {
  claimOf,
  decide,
  decideEnd,
  heartbeatOf,
  hostAt,
  leaderView,
  linkAt,
  pollOf,
  nextAppend,
  recordLease,
  mayStart,
  orderOf,
  orderStop,
  release,
  markRecordedEnds,
  silentWorkers,
  handleOrderAnswer,
  takeOver,
  handleReport,
  handleSilence,
  afterSending,
  withWriteInFlight,
  withHost,
  withLeader,
  withLink,
  write,
} from './leader-steps.fixture.test.js';
import {
  append,
  NO_PROGRESS,
  readToEnd,
  readUpTo,
  recordsOf,
  TASK,
  TICK_MS,
  taskViewOf,
  WORKER_NAMES,
  type Host,
  type LeaderState,
  type Message,
  type State,
} from './states.fixture.test.js';
import {
  carryOut,
  endRun,
  advanceTime,
  withWorker,
  workerAt,
  type Answer,
  type InjectedFault,
} from './worker-steps.fixture.test.js';

/** Lost and delayed messages, lost and delayed appends, host restarts, and loss of a worker. */
export type DisruptionKind = 'message' | 'append' | 'restart' | 'loss';

/** Bounds of an exploration. */
export interface Bounds {
  readonly until: Instant;
  readonly epochs: number;
  readonly runs: number;
  /** Maximum number of disruptions in one history. */
  readonly maxDisruptions: number;
  /** Kinds of disruption that are tried. */
  readonly disruptionKinds: readonly DisruptionKind[];
  /** Prefixes of the names of the steps that each history starts with. */
  readonly opening: readonly string[];
  /** Maximum number of steps after these. */
  readonly depth: number;
  /** Whether the job may be cancelled. */
  readonly cancels: boolean;
  /** Whether leaders may release the leadership. */
  readonly releases: boolean;
  /** Whether hosts that do not lead keep reading; otherwise they read when they claim. */
  readonly reads: boolean;
  readonly fault: InjectedFault;
}

/** A step; `apply` throws a `GuaranteeViolation` if it violates a guarantee. */
export interface Step {
  readonly name: string;
  readonly disruption: DisruptionKind | undefined;
  readonly apply: () => State;
}

/** Returns all steps from a state. */
export function stepsFrom(state: State, bounds: Bounds): Step[] {
  const steps = [
    ...messageSteps(state, bounds.fault),
    ...[0, 1].flatMap(at => hostSteps(state, at, bounds)),
    ...delayedAppendSteps(state),
    ...environmentSteps(state, bounds),
  ];
  return steps.filter(
    ({ disruption }) =>
      disruption === undefined ||
      (state.disruptions < bounds.maxDisruptions &&
        bounds.disruptionKinds.includes(disruption)),
  );
}

function regularStep(name: string, apply: () => State): Step {
  return { name, disruption: undefined, apply: apply };
}

function disruptionStep(
  kind: DisruptionKind,
  name: string,
  apply: () => State,
): Step {
  return {
    name: `${name} (disruption)`,
    disruption: kind,
    apply: () => {
      const next = apply();
      return { ...next, disruptions: next.disruptions + 1 };
    },
  };
}

function messageSteps(state: State, fault: InjectedFault): Step[] {
  return state.messages.map(message => {
    const messages = state.messages.filter(other => other !== message);
    return regularStep(
      `the delayed ${nameOf(message)} is carried out`,
      () => carryOut({ ...state, messages }, message, fault).state,
    );
  });
}

function nameOf({ kind, run, to, fence }: Message): string {
  const what = kind === 'poll' ? kind : `${kind} of run ${run}`;
  return `${what} at ${workerName(to)} under epoch ${fence}`;
}

function workerName(at: number): 'w1' | 'w2' {
  return WORKER_NAMES[at === 0 ? 0 : 1];
}

function orderSteps(state: State, at: number, fault: InjectedFault): Step[] {
  const host = hostAt(state, at);
  const { lead, name } = host;
  if (lead === undefined || lead.progress.order === 'none') {
    return [];
  }
  const message = orderOf(state, host, lead, fault);
  if (message.kind === 'start' && !mayStart(state, lead, fault)) {
    return [
      regularStep(`${name} drops the start of run ${message.run}`, () =>
        withLeader(state, at, markRecordedEnds(decideEnd(lead, 'void'))),
      ),
    ];
  }
  const what = `${name} sends the ${nameOf(message)}`;
  const sent = afterSending(lead, message);
  const answered = (from: State, answer: Answer | 'unknown'): State =>
    withLeader(from, at, handleOrderAnswer(sent, message, answer));
  const { dead, cutFrom } = workerAt(state, message.to);
  if (dead) {
    return [
      regularStep(`${what}, which has ended`, () =>
        withReplacedWorker(state, at, message.to),
      ),
    ];
  }
  if (cutFrom.includes(name)) {
    return [
      regularStep(`${what}, which is cut off`, () =>
        answered(state, 'unknown'),
      ),
    ];
  }
  const messages = [...state.messages, message];
  return [
    regularStep(what, () => {
      const done = carryOut(state, message, fault);
      return answered(done.state, done.answer);
    }),
    disruptionStep('message', `${what}, the answer lost`, () =>
      answered(carryOut(state, message, fault).state, 'unknown'),
    ),
    disruptionStep('message', `${what}, delayed`, () =>
      answered({ ...state, messages }, 'unknown'),
    ),
  ];
}

function withReplacedWorker(state: State, at: number, worker: number): State {
  const { lead } = hostAt(state, at);
  if (lead === undefined) {
    return state;
  }
  const { run, at: runsAt } = leaderView(lead);
  const withoutRun =
    run > 0 && runsAt === worker ? decideEnd(lead, 'lapsed') : lead;
  return withLeader(
    state,
    at,
    withLink(withoutRun, worker, {
      verified: true,
      answering: false,
      report: undefined,
    }),
  );
}

function hostSteps(state: State, at: number, bounds: Bounds): Step[] {
  const host = hostAt(state, at);
  const { lead, name } = host;
  if (lead === undefined) {
    return [...readSteps(state, at, bounds), ...claimSteps(state, at, bounds)];
  }
  return [
    ...writeSteps(state, at, lead, bounds.fault),
    ...releaseSteps(state, at, lead, bounds),
    ...decideSteps(state, at, lead, bounds),
    ...orderSteps(state, at, bounds.fault),
    ...[0, 1].flatMap(to => pollSteps(state, at, to, bounds.fault)),
    disruptionStep('restart', `${name} restarts`, () =>
      withHost(state, at, { ...host, journalReads: [], lead: undefined }),
    ),
  ];
}

/** A host that does not lead reads the journal; it assumes that a record was written when it was read. */
function readSteps(state: State, at: number, { reads }: Bounds): Step[] {
  const host = hostAt(state, at);
  return reads && readUpTo(host) < state.journal.length
    ? [
        regularStep(`${host.name} reads the journal`, () =>
          withHost(state, at, readToEnd(host, state)),
        ),
      ]
    : [];
}

function releaseSteps(
  state: State,
  at: number,
  lead: LeaderState,
  { releases, epochs }: Bounds,
): Step[] {
  // The last leader within the bounds is never replaced, so it does not release.
  const mayRelease = releases && lead.epoch < epochs;
  return mayRelease && lead.releasedAt < 0
    ? [
        regularStep(`${hostAt(state, at).name} releases the lead`, () =>
          withLeader(state, at, release(state, lead)),
        ),
      ]
    : [];
}

function claimSteps(state: State, at: number, bounds: Bounds): Step[] {
  const { name } = hostAt(state, at);
  const claim = claimOf(state, at);
  // The hosts are interchangeable: the first to claim is A.
  if (claim.epoch > bounds.epochs || (claim.epoch === 1 && at === 1)) {
    return [];
  }
  const { journal, kind } = append(state.journal, claim);
  const claimed: State = { ...state, journal };
  const delayedAppends = [...state.delayedAppends, claim];
  return [
    ...(kind === 'appended'
      ? [
          regularStep(`${name} claims epoch ${claim.epoch}`, () =>
            takeOver(claimed, at, claim, bounds.fault),
          ),
          disruptionStep(
            'append',
            `${name} claims epoch ${claim.epoch}, the answer lost`,
            () => claimed,
          ),
        ]
      : []),
    disruptionStep(
      'append',
      `${name} claims epoch ${claim.epoch}, delayed`,
      () => ({
        ...state,
        delayedAppends,
      }),
    ),
  ];
}

function writeSteps(
  state: State,
  at: number,
  lead: LeaderState,
  fault: InjectedFault,
): Step[] {
  const { name } = hostAt(state, at);
  const waits = nextAppend(lead);
  if (waits.records.length === 0) {
    return heartbeatSteps(state, at, lead);
  }
  const { journal } = append(state.journal, waits);
  const what = waits.records
    .map(record =>
      'run' in record ? `${record.kind} ${record.run}` : record.kind,
    )
    .join(', ');
  const unanswered = withLeader(state, at, withWriteInFlight(lead, state.now));
  return [
    regularStep(`${name} writes ${what}`, () => write(state, at, lead, fault)),
    disruptionStep('append', `${name} writes ${what}, the answer lost`, () => ({
      ...unanswered,
      journal,
    })),
    disruptionStep('append', `${name} writes ${what}, delayed`, () => ({
      ...unanswered,
      delayedAppends: [...state.delayedAppends, waits],
    })),
  ];
}

/** One heartbeat per tick, plus one that reports a worker which has stopped answering. */
function heartbeatSteps(state: State, at: number, lead: LeaderState): Step[] {
  const host = hostAt(state, at);
  const { epoch } = taskViewOf(recordsOf(state.journal), false);
  if (epoch > lead.epoch) {
    return [
      regularStep(`${host.name} is refused`, () =>
        withLeader(state, at, undefined),
      ),
    ];
  }
  const hasUnreportedWorker = silentWorkers(lead).some(
    worker => linkAt(lead, worker).reached,
  );
  return lead.confirmedAt === state.now && !hasUnreportedWorker
    ? []
    : [
        regularStep(`${host.name} writes a heartbeat`, () =>
          writeHeartbeat(state, at, lead),
        ),
      ];
}

function writeHeartbeat(state: State, at: number, lead: LeaderState): State {
  const host = hostAt(state, at);
  const sequence = lead.sequence + 1;
  const { journal } = append(state.journal, {
    epoch: lead.epoch,
    sequence,
    records: [heartbeatOf(state, host, lead)],
  });
  const afterHeartbeat = silentWorkers(lead).reduce(
    (next, worker) => withLink(next, worker, { reached: false }),
    { ...lead, sequence, confirmedAt: state.now },
  );
  return withLeader({ ...state, journal }, at, afterHeartbeat);
}

function decideSteps(
  state: State,
  at: number,
  lead: LeaderState,
  { runs }: Bounds,
): Step[] {
  const { name } = hostAt(state, at);
  const { status, isFinished, lastRun, run } = leaderView(lead);
  const steps: Step[] = [];
  const cancelled = state.cancelledAt >= 0;
  if (lead.inboxAt < state.now || lead.cancelKnown !== cancelled) {
    steps.push(
      regularStep(`${name} reads the inbox`, () =>
        withLeader(state, at, {
          ...lead,
          inboxAt: state.now,
          cancelKnown: cancelled,
        }),
      ),
    );
  }
  const { verified, answering } = linkAt(lead, state.registered);
  const fresh = state.now - lead.inboxAt <= INBOX_STALE_MS;
  const mayPlan = status === 'waiting' && !isFinished && verified && answering;
  if (mayPlan && fresh && lastRun < runs) {
    steps.push(
      regularStep(`${name} decides to start run ${lastRun + 1}`, () =>
        withLeader(state, at, plan(state, lead)),
      ),
    );
  }
  const { ordered, stopping } = lead.progress;
  if (run > 0 && isFinished && ordered && !stopping) {
    steps.push(
      regularStep(`${name} stops run ${run}`, () =>
        withLeader(state, at, orderStop(lead)),
      ),
    );
  }
  return steps;
}

function plan(state: State, lead: LeaderState): LeaderState {
  const { lastRun } = leaderView(lead);
  const worker = WORKER_NAMES[state.registered];
  const decided = decide(lead, {
    kind: 'start',
    task: TASK,
    run: lastRun + 1,
    worker,
  });
  return { ...decided, progress: { ...NO_PROGRESS, decidedAt: state.now } };
}

function pollSteps(
  state: State,
  at: number,
  to: number,
  fault: InjectedFault,
): Step[] {
  const host = hostAt(state, at);
  const { lead, name } = host;
  if (lead === undefined || to > state.registered) {
    return [];
  }
  const worker = WORKER_NAMES[to === 0 ? 0 : 1];
  const { report } = linkAt(lead, to);
  if (report !== undefined) {
    return [
      regularStep(`${name} handles the report of ${worker}`, () =>
        withLeader(state, at, handleReport(state, lead, to)),
      ),
    ];
  }
  return needsPoll(lead, to)
    ? newPollSteps(state, at, host, lead, to, fault)
    : [];
}

function needsPoll(lead: LeaderState, to: number): boolean {
  const { verified, answering, recordedUpTo, acknowledgedUpTo, listedUpTo } =
    linkAt(lead, to);
  const { run, at } = leaderView(lead);
  const runsHere = run > 0 && at === to;
  const newestPosition = Math.max(recordedUpTo, listedUpTo);
  return (
    !verified || !answering || runsHere || newestPosition > acknowledgedUpTo
  );
}

function newPollSteps(
  state: State,
  at: number,
  host: Host,
  lead: LeaderState,
  to: number,
  fault: InjectedFault,
): Step[] {
  const worker = WORKER_NAMES[to === 0 ? 0 : 1];
  const what = `${host.name} polls ${worker}`;
  const poll = pollOf(state, host, lead, to, fault);
  const withLease = recordLease(lead, to, poll.leaseUntil);
  const unanswered = (from: State): State =>
    withLeader(from, at, handleSilence(state, host, withLease, to, fault));
  const { dead, cutFrom } = workerAt(state, to);
  if (dead) {
    return [
      regularStep(`${what}, which has another incarnation`, () =>
        withReplacedWorker(state, at, to),
      ),
    ];
  }
  if (cutFrom.includes(host.name)) {
    return [regularStep(`${what}, which is cut off`, () => unanswered(state))];
  }
  return [
    regularStep(what, () => {
      const { state: polled, answer } = carryOut(state, poll, fault);
      return answer === 'fenced'
        ? state
        : withLeader(
            polled,
            at,
            handleReport(polled, withReport(polled, withLease, poll), to),
          );
    }),
    disruptionStep(
      'message',
      `${what}, and is slow to handle the answer`,
      () => {
        const { state: polled, answer } = carryOut(state, poll, fault);
        return answer === 'fenced'
          ? state
          : withLeader(polled, at, withReport(polled, withLease, poll));
      },
    ),
    disruptionStep('message', `${what}, the answer lost`, () =>
      unanswered(carryOut(state, poll, fault).state),
    ),
    disruptionStep('message', `${what}, delayed`, () =>
      unanswered({ ...state, messages: [...state.messages, poll] }),
    ),
  ];
}

function withReport(
  state: State,
  lead: LeaderState,
  poll: Message,
): LeaderState {
  const { active, ended } = workerAt(state, poll.to);
  const { stopConfirmed } = lead.progress;
  const { acknowledged } = poll;
  return withLink(lead, poll.to, {
    report: {
      active,
      ended,
      afterStop: stopConfirmed,
      clock: state.now,
      acknowledged,
    },
  });
}

function delayedAppendSteps(state: State): Step[] {
  return state.delayedAppends.map(delayed => {
    const delayedAppends = state.delayedAppends.filter(
      other => other !== delayed,
    );
    const { journal } = append(state.journal, delayed);
    return regularStep(
      `the delayed append of epoch ${delayed.epoch} is carried out`,
      () => ({
        ...state,
        journal,
        delayedAppends,
      }),
    );
  });
}

function environmentSteps(state: State, bounds: Bounds): Step[] {
  const steps = [0, 1].flatMap(at =>
    workerAt(state, at).active.map(run =>
      regularStep(
        `run ${run} is done at ${WORKER_NAMES[at === 0 ? 0 : 1]}`,
        () => endRun(state, at, run, 'done'),
      ),
    ),
  );
  if (state.now < bounds.until) {
    steps.push(
      regularStep('time passes', () => advanceTime(state, state.now + TICK_MS)),
    );
  }
  if (state.registered === 0) {
    steps.push(...lossSteps(state));
  }
  if (bounds.cancels && state.cancelledAt < 0) {
    steps.push(
      regularStep('the job is cancelled', () => ({
        ...state,
        cancelledAt: state.now,
      })),
    );
  }
  return steps;
}

/** The worker is lost and another one replaces it. */
function lossSteps(state: State): Step[] {
  const cuts = [['A'], ['B'], ['A', 'B']].map(cutFrom =>
    disruptionStep(
      'loss',
      `w1 is cut off from ${cutFrom.join(' and ')}, w2 replaces it`,
      () => ({
        ...withWorker(state, 0, { cutFrom }),
        registered: 1 as const,
      }),
    ),
  );
  const ends = disruptionStep('loss', 'w1 ends, w2 replaces it', () => ({
    ...withWorker(state, 0, { dead: true, active: [], ended: [] }),
    registered: 1 as const,
  }));
  return [...cuts, ends];
}
