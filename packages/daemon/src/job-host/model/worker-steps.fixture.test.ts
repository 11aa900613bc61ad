/** The workers of the model: they carry out messages, end runs and lose their lease. */
import type { Instant } from '@paddlewind/domain';
import type { RunEnd } from '@paddlewind/domain/jobs';

import { INBOX_STALE_MS, TASK_LEASE_MS } from '../timing.js';
import {
  recordsOf,
  type Message,
  type State,
  type Worker,
} from './states.fixture.test.js';

/** A fault that is injected into the model. */
export type InjectedFault =
  | 'none'
  | 'no_fence'
  | 'early_acknowledgement'
  | 'unconfirmed_lease'
  | 'late_confirmation'
  | 'released_lease'
  | 'early_abandonment'
  | 'never_abandoned'
  | 'unchecked_start'
  | 'missed_record';

/** A worker's answer to a message. */
export type Answer = 'accepted' | 'fenced' | 'superseded' | 'too_late' | 'seen';

/** A guarantee is violated. */
export class GuaranteeViolation extends Error {}

/** Returns the state with a worker changed. */
export function withWorker(
  state: State,
  at: number,
  change: Partial<Worker>,
): State {
  const [first, second] = state.workers;
  const workers: State['workers'] =
    at === 0
      ? [{ ...first, ...change }, second]
      : [first, { ...second, ...change }];
  return { ...state, workers };
}

/** Returns a worker. */
export function workerAt(state: State, at: number): Worker {
  return state.workers[at === 0 ? 0 : 1];
}

/** Carries out a message on its worker. */
export function carryOut(
  state: State,
  message: Message,
  fault: InjectedFault,
): { readonly state: State; readonly answer: Answer } {
  const { to, fence } = message;
  const worker = workerAt(state, to);
  if (fence < worker.fence && fault !== 'no_fence') {
    return { state, answer: 'fenced' };
  }
  const fenced = withWorker(state, to, {
    fence: Math.max(fence, worker.fence),
  });
  switch (message.kind) {
    case 'start':
      return start(extend(fenced, message), message);
    case 'stop':
      return { state: stop(fenced, message), answer: 'accepted' };
    case 'poll':
      return {
        state: acknowledge(extend(fenced, message), message),
        answer: 'seen',
      };
  }
}

function extend(state: State, { to, leaseUntil }: Message): State {
  const worker = workerAt(state, to);
  const allowed = Math.min(leaseUntil, state.now + TASK_LEASE_MS);
  return withWorker(state, to, {
    leaseUntil: Math.max(worker.leaseUntil, allowed),
  });
}

function start(
  state: State,
  message: Message,
): { readonly state: State; readonly answer: Answer } {
  const { to, run, leaseUntil } = message;
  const worker = workerAt(state, to);
  if (worker.active.includes(run)) {
    return { state, answer: 'accepted' };
  }
  if (run <= worker.highestRun) {
    return { state, answer: 'superseded' };
  }
  if (leaseUntil <= state.now) {
    return { state, answer: 'too_late' };
  }
  checkStart(state, message);
  const active = [...worker.active, run];
  return {
    state: withWorker(state, to, { active, highestRun: run }),
    answer: 'accepted',
  };
}

/** Checks the invariants that must hold when a worker accepts a start. */
function checkStart(state: State, { sentAt, cancelKnown }: Message): void {
  const { now, cancelledAt, workers, doneAcknowledged } = state;
  if (workers.some(({ active }) => active.length > 0)) {
    throw new GuaranteeViolation('two runs of the task are active');
  }
  if (doneAcknowledged) {
    throw new GuaranteeViolation(
      'a run starts after another was acknowledged as done',
    );
  }
  if (cancelledAt < 0) {
    return;
  }
  if (cancelKnown) {
    throw new GuaranteeViolation(
      'a start is sent after the cancellation was read',
    );
  }
  if (sentAt - cancelledAt > INBOX_STALE_MS) {
    throw new GuaranteeViolation(
      'a start is sent, and accepted, too long after the cancellation',
    );
  }
  if (now - cancelledAt > INBOX_STALE_MS + TASK_LEASE_MS) {
    throw new GuaranteeViolation(
      'a late start is accepted too long after the cancellation',
    );
  }
}

function stop(state: State, { to, run }: Message): State {
  const worker = workerAt(state, to);
  const highestRun = Math.max(run, worker.highestRun);
  const acknowledgedEnds = withWorker(state, to, { highestRun });
  return worker.active.includes(run)
    ? endRun(acknowledgedEnds, to, run, 'stopped')
    : acknowledgedEnds;
}

/** Ends an active run and lists its end. */
export function endRun(
  state: State,
  at: number,
  run: number,
  how: RunEnd,
): State {
  const worker = workerAt(state, at);
  const position = worker.nextPosition;
  return withWorker(state, at, {
    active: worker.active.filter(other => other !== run),
    ended: [...worker.ended, { position, run, how }],
    nextPosition: position + 1,
  });
}

function acknowledge(state: State, { to, acknowledged }: Message): State {
  const { ended } = workerAt(state, to);
  const acknowledgedEnds = ended.filter(
    ({ position }) => position <= acknowledged,
  );
  if (acknowledgedEnds.length === 0) {
    return state;
  }
  const recorded = new Map(
    recordsOf(state.journal).flatMap(record =>
      record.kind === 'end' ? [[record.run, record.how] as const] : [],
    ),
  );
  if (acknowledgedEnds.some(({ run }) => !recorded.has(run))) {
    throw new GuaranteeViolation('an end is acknowledged that is not recorded');
  }
  // Work may be repeated if its worker could not be reached until its lease had expired.
  const done = acknowledgedEnds.some(
    ({ run, how }) => how === 'done' && recorded.get(run) !== 'lapsed',
  );
  return {
    ...withWorker(state, to, {
      ended: ended.filter(({ position }) => position > acknowledged),
    }),
    doneAcknowledged: state.doneAcknowledged || done,
  };
}

/** Advances time; runs whose lease has expired end. */
export function advanceTime(state: State, now: Instant): State {
  let next: State = { ...state, now };
  for (const at of [0, 1]) {
    const { active, leaseUntil } = workerAt(next, at);
    for (const run of leaseUntil <= now ? active : []) {
      next = endRun(next, at, run, 'lapsed');
    }
  }
  return next;
}
