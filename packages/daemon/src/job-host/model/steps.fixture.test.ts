/** All steps that may follow a state of the model. */
import type { Instant } from '@paddlewind/domain';

import { INBOX_STALE_MS } from '../timing.js';
import {
  claimOf,
  decide,
  decideEnd,
  heartbeatOf,
  hostAt,
  leadView,
  linkAt,
  lookOf,
  nextAppend,
  noteLease,
  mayStart,
  orderOf,
  orderStop,
  release,
  settleEnds,
  silentWorkers,
  takeOrderAnswer,
  takeOver,
  takeReport,
  takeSilence,
  whileSending,
  whileWriting,
  withHost,
  withLead,
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
  viewOf,
  WORKER_NAMES,
  type Host,
  type Lead,
  type Message,
  type State,
} from './states.fixture.test.js';
import {
  carryOut,
  endRun,
  passTime,
  withWorker,
  workerAt,
  type Answer,
  type Fault,
} from './worker-steps.fixture.test.js';

/** Lost and late messages, lost and late appends, hosts that start again, a worker that is lost. */
export type TroubleKind = 'message' | 'append' | 'restart' | 'loss';

/** How far is explored. */
export interface Bounds {
  readonly until: Instant;
  readonly epochs: number;
  readonly runs: number;
  /** Losses, late messages, restarts and lost workers in one history. */
  readonly troubles: number;
  /** Kinds of trouble that are tried. */
  readonly kinds: readonly TroubleKind[];
  /** Beginnings of the names of the steps with which each history begins. */
  readonly opening: readonly string[];
  /** Most steps of a history after these. */
  readonly depth: number;
  /** Whether the job may be cancelled. */
  readonly cancels: boolean;
  /** Whether leaders may ask to be replaced. */
  readonly releases: boolean;
  /** Whether hosts that do not lead read on; else they read when they claim. */
  readonly reads: boolean;
  readonly fault: Fault;
}

/** A step; `then` throws `Broken` where it breaks a promise. */
export interface Step {
  readonly name: string;
  readonly trouble: TroubleKind | undefined;
  readonly then: () => State;
}

/** Returns all steps from a state. */
export function stepsFrom(state: State, bounds: Bounds): Step[] {
  const steps = [
    ...messageSteps(state, bounds.fault),
    ...[0, 1].flatMap(at => hostSteps(state, at, bounds)),
    ...lateAppendSteps(state),
    ...worldSteps(state, bounds),
  ];
  return steps.filter(
    ({ trouble: kind }) =>
      kind === undefined ||
      (state.troubles < bounds.troubles && bounds.kinds.includes(kind)),
  );
}

function calm(name: string, then: () => State): Step {
  return { name, trouble: undefined, then };
}

function trouble(kind: TroubleKind, name: string, then: () => State): Step {
  return {
    name: `${name} (trouble)`,
    trouble: kind,
    then: () => {
      const next = then();
      return { ...next, troubles: next.troubles + 1 };
    },
  };
}

function messageSteps(state: State, fault: Fault): Step[] {
  return state.messages.map(message => {
    const messages = state.messages.filter(other => other !== message);
    return calm(
      `the late ${nameOf(message)} is carried out`,
      () => carryOut({ ...state, messages }, message, fault).state,
    );
  });
}

function nameOf({ kind, run, to, fence }: Message): string {
  const what = kind === 'look' ? kind : `${kind} of run ${run}`;
  return `${what} at ${workerName(to)} under epoch ${fence}`;
}

function workerName(at: number): 'w1' | 'w2' {
  return WORKER_NAMES[at === 0 ? 0 : 1];
}

function orderSteps(state: State, at: number, fault: Fault): Step[] {
  const host = hostAt(state, at);
  const { lead, name } = host;
  if (lead === undefined || lead.progress.order === 'none') {
    return [];
  }
  const message = orderOf(state, host, lead, fault);
  if (message.kind === 'start' && !mayStart(state, lead, fault)) {
    return [
      calm(`${name} gives up the start of run ${message.run}`, () =>
        withLead(state, at, settleEnds(decideEnd(lead, 'void'))),
      ),
    ];
  }
  const what = `${name} sends the ${nameOf(message)}`;
  const sent = whileSending(lead, message);
  const answered = (from: State, answer: Answer | 'unknown'): State =>
    withLead(from, at, takeOrderAnswer(sent, message, answer));
  const { dead, cutFrom } = workerAt(state, message.to);
  if (dead) {
    return [
      calm(`${what}, which is gone`, () => replaced(state, at, message.to)),
    ];
  }
  if (cutFrom.includes(name)) {
    return [
      calm(`${what}, which is cut off`, () => answered(state, 'unknown')),
    ];
  }
  const late = [...state.messages, message];
  return [
    calm(what, () => {
      const done = carryOut(state, message, fault);
      return answered(done.state, done.answer);
    }),
    trouble('message', `${what}, the answer lost`, () =>
      answered(carryOut(state, message, fault).state, 'unknown'),
    ),
    trouble('message', `${what}, late`, () =>
      answered({ ...state, messages: late }, 'unknown'),
    ),
  ];
}

function replaced(state: State, at: number, worker: number): State {
  const { lead } = hostAt(state, at);
  if (lead === undefined) {
    return state;
  }
  const { run, at: runsAt } = leadView(lead);
  const over = run > 0 && runsAt === worker ? decideEnd(lead, 'lapsed') : lead;
  return withLead(
    state,
    at,
    withLink(over, worker, {
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
    ...[0, 1].flatMap(to => lookSteps(state, at, to, bounds.fault)),
    trouble('restart', `${name} starts again`, () =>
      withHost(state, at, { ...host, reads: [], lead: undefined }),
    ),
  ];
}

/** A host that does not lead reads on; what it reads later it takes to be written later. */
function readSteps(state: State, at: number, { reads }: Bounds): Step[] {
  const host = hostAt(state, at);
  return reads && readUpTo(host) < state.journal.length
    ? [
        calm(`${host.name} reads the journal`, () =>
          withHost(state, at, readToEnd(host, state)),
        ),
      ]
    : [];
}

function releaseSteps(
  state: State,
  at: number,
  lead: Lead,
  { releases, epochs }: Bounds,
): Step[] {
  // Who leads last is not replaced any more.
  const mayRelease = releases && lead.epoch < epochs;
  return mayRelease && lead.releasedAt < 0
    ? [
        calm(`${hostAt(state, at).name} releases the lead`, () =>
          withLead(state, at, release(state, lead)),
        ),
      ]
    : [];
}

function claimSteps(state: State, at: number, bounds: Bounds): Step[] {
  const { name } = hostAt(state, at);
  const claim = claimOf(state, at);
  // The hosts are alike: the first to claim is called A.
  if (claim.epoch > bounds.epochs || (claim.epoch === 1 && at === 1)) {
    return [];
  }
  const { journal, kind } = append(state.journal, claim);
  const claimed: State = { ...state, journal };
  const late = [...state.lateAppends, claim];
  return [
    ...(kind === 'appended'
      ? [
          calm(`${name} claims epoch ${claim.epoch}`, () =>
            takeOver(claimed, at, claim, bounds.fault),
          ),
          trouble(
            'append',
            `${name} claims epoch ${claim.epoch}, the answer lost`,
            () => claimed,
          ),
        ]
      : []),
    trouble('append', `${name} claims epoch ${claim.epoch}, late`, () => ({
      ...state,
      lateAppends: late,
    })),
  ];
}

function writeSteps(
  state: State,
  at: number,
  lead: Lead,
  fault: Fault,
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
  const unanswered = withLead(state, at, whileWriting(lead, state.now));
  return [
    calm(`${name} writes ${what}`, () => write(state, at, lead, fault)),
    trouble('append', `${name} writes ${what}, the answer lost`, () => ({
      ...unanswered,
      journal,
    })),
    trouble('append', `${name} writes ${what}, late`, () => ({
      ...unanswered,
      lateAppends: [...state.lateAppends, waits],
    })),
  ];
}

/** One heartbeat a tick, and one that tells of a worker which has ceased to answer. */
function heartbeatSteps(state: State, at: number, lead: Lead): Step[] {
  const host = hostAt(state, at);
  const { epoch } = viewOf(recordsOf(state.journal), false);
  if (epoch > lead.epoch) {
    return [
      calm(`${host.name} is refused`, () => withLead(state, at, undefined)),
    ];
  }
  const untold = silentWorkers(lead).some(
    worker => linkAt(lead, worker).reached,
  );
  return lead.confirmedAt === state.now && !untold
    ? []
    : [calm(`${host.name} writes a heartbeat`, () => beat(state, at, lead))];
}

function beat(state: State, at: number, lead: Lead): State {
  const host = hostAt(state, at);
  const sequence = lead.sequence + 1;
  const { journal } = append(state.journal, {
    epoch: lead.epoch,
    sequence,
    records: [heartbeatOf(state, host, lead)],
  });
  const beaten = silentWorkers(lead).reduce(
    (next, worker) => withLink(next, worker, { reached: false }),
    { ...lead, sequence, confirmedAt: state.now },
  );
  return withLead({ ...state, journal }, at, beaten);
}

function decideSteps(
  state: State,
  at: number,
  lead: Lead,
  { runs }: Bounds,
): Step[] {
  const { name } = hostAt(state, at);
  const { status, over, lastRun, run } = leadView(lead);
  const steps: Step[] = [];
  const cancelled = state.cancelledAt >= 0;
  if (lead.inboxAt < state.now || lead.cancelKnown !== cancelled) {
    steps.push(
      calm(`${name} reads the inbox`, () =>
        withLead(state, at, {
          ...lead,
          inboxAt: state.now,
          cancelKnown: cancelled,
        }),
      ),
    );
  }
  const { verified, answering } = linkAt(lead, state.registered);
  const fresh = state.now - lead.inboxAt <= INBOX_STALE_MS;
  const mayPlan = status === 'waiting' && !over && verified && answering;
  if (mayPlan && fresh && lastRun < runs) {
    steps.push(
      calm(`${name} decides to start run ${lastRun + 1}`, () =>
        withLead(state, at, plan(state, lead)),
      ),
    );
  }
  const { ordered, stopping } = lead.progress;
  if (run > 0 && over && ordered && !stopping) {
    steps.push(
      calm(`${name} stops run ${run}`, () =>
        withLead(state, at, orderStop(lead)),
      ),
    );
  }
  return steps;
}

function plan(state: State, lead: Lead): Lead {
  const { lastRun } = leadView(lead);
  const worker = WORKER_NAMES[state.registered];
  const decided = decide(lead, {
    kind: 'start',
    task: TASK,
    run: lastRun + 1,
    worker,
  });
  return { ...decided, progress: { ...NO_PROGRESS, decidedAt: state.now } };
}

function lookSteps(state: State, at: number, to: number, fault: Fault): Step[] {
  const host = hostAt(state, at);
  const { lead, name } = host;
  if (lead === undefined || to > state.registered) {
    return [];
  }
  const worker = WORKER_NAMES[to === 0 ? 0 : 1];
  const { report } = linkAt(lead, to);
  if (report !== undefined) {
    return [
      calm(`${name} takes in the report of ${worker}`, () =>
        withLead(state, at, takeReport(state, lead, to)),
      ),
    ];
  }
  return needsLook(lead, to)
    ? newLookSteps(state, at, host, lead, to, fault)
    : [];
}

function needsLook(lead: Lead, to: number): boolean {
  const { verified, answering, recordedUpTo, acknowledgedUpTo, listedUpTo } =
    linkAt(lead, to);
  const { run, at } = leadView(lead);
  const runsHere = run > 0 && at === to;
  const told = Math.max(recordedUpTo, listedUpTo);
  return !verified || !answering || runsHere || told > acknowledgedUpTo;
}

function newLookSteps(
  state: State,
  at: number,
  host: Host,
  lead: Lead,
  to: number,
  fault: Fault,
): Step[] {
  const worker = WORKER_NAMES[to === 0 ? 0 : 1];
  const what = `${host.name} looks at ${worker}`;
  const look = lookOf(state, host, lead, to, fault);
  const looked = noteLease(lead, to, look.leaseUntil);
  const silent = (from: State): State =>
    withLead(from, at, takeSilence(state, host, looked, to, fault));
  const { dead, cutFrom } = workerAt(state, to);
  if (dead) {
    return [
      calm(`${what}, which has another life`, () => replaced(state, at, to)),
    ];
  }
  if (cutFrom.includes(host.name)) {
    return [calm(`${what}, which is cut off`, () => silent(state))];
  }
  return [
    calm(what, () => {
      const { state: seen, answer } = carryOut(state, look, fault);
      return answer === 'fenced'
        ? state
        : withLead(
            seen,
            at,
            takeReport(seen, reported(seen, looked, look), to),
          );
    }),
    trouble('message', `${what}, and is slow to take in the answer`, () => {
      const { state: seen, answer } = carryOut(state, look, fault);
      return answer === 'fenced'
        ? state
        : withLead(seen, at, reported(seen, looked, look));
    }),
    trouble('message', `${what}, the answer lost`, () =>
      silent(carryOut(state, look, fault).state),
    ),
    trouble('message', `${what}, late`, () =>
      silent({ ...state, messages: [...state.messages, look] }),
    ),
  ];
}

function reported(state: State, lead: Lead, look: Message): Lead {
  const { active, ended } = workerAt(state, look.to);
  const { stopConfirmed } = lead.progress;
  const { acknowledged } = look;
  return withLink(lead, look.to, {
    report: {
      active,
      ended,
      afterStop: stopConfirmed,
      clock: state.now,
      acknowledged,
    },
  });
}

function lateAppendSteps(state: State): Step[] {
  return state.lateAppends.map(late => {
    const lateAppends = state.lateAppends.filter(other => other !== late);
    const { journal } = append(state.journal, late);
    return calm(
      `the late append of epoch ${late.epoch} is carried out`,
      () => ({
        ...state,
        journal,
        lateAppends,
      }),
    );
  });
}

function worldSteps(state: State, bounds: Bounds): Step[] {
  const steps = [0, 1].flatMap(at =>
    workerAt(state, at).active.map(run =>
      calm(`run ${run} is done at ${WORKER_NAMES[at === 0 ? 0 : 1]}`, () =>
        endRun(state, at, run, 'done'),
      ),
    ),
  );
  if (state.now < bounds.until) {
    steps.push(calm('time passes', () => passTime(state, state.now + TICK_MS)));
  }
  if (state.registered === 0) {
    steps.push(...lossSteps(state));
  }
  if (bounds.cancels && state.cancelledAt < 0) {
    steps.push(
      calm('the job is cancelled', () => ({
        ...state,
        cancelledAt: state.now,
      })),
    );
  }
  return steps;
}

/** The worker is lost, and another one is there in its place. */
function lossSteps(state: State): Step[] {
  const cuts = [['A'], ['B'], ['A', 'B']].map(cutFrom =>
    trouble(
      'loss',
      `w1 is cut off from ${cutFrom.join(' and ')}, w2 comes`,
      () => ({
        ...withWorker(state, 0, { cutFrom }),
        registered: 1 as const,
      }),
    ),
  );
  const ends = trouble('loss', 'w1 ends, w2 comes', () => ({
    ...withWorker(state, 0, { dead: true, active: [], ended: [] }),
    registered: 1 as const,
  }));
  return [...cuts, ends];
}
