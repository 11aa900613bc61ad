/** What the workers of the model do: carry out what arrives, end runs, lose their lease. */
import type { Instant } from '@paddlewind/domain';
import type { RunEnd } from '@paddlewind/domain/jobs';

import { INBOX_STALE_MS, TASK_LEASE_MS } from '../timing.js';
import {
  recordsOf,
  type Message,
  type State,
  type Worker,
} from './states.fixture.test.js';

/** A fault that is planted into the model. */
export type Fault =
  | 'none'
  | 'no_fence'
  | 'early_acknowledgement'
  | 'unconfirmed_lease'
  | 'late_confirmation'
  | 'released_lease'
  | 'early_give_up'
  | 'never_given_up'
  | 'unchecked_start'
  | 'missed_record';

/** How a worker takes a message. */
export type Answer = 'accepted' | 'fenced' | 'superseded' | 'too_late' | 'seen';

/** A promise is broken. */
export class Broken extends Error {}

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

/** Carries out a message at its worker. */
export function carryOut(
  state: State,
  message: Message,
  fault: Fault,
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
    case 'look':
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

/** What must hold whenever a worker accepts a start. */
function checkStart(state: State, { sentAt, cancelKnown }: Message): void {
  const { now, cancelledAt, workers, doneAcknowledged } = state;
  if (workers.some(({ active }) => active.length > 0)) {
    throw new Broken('two runs of the task are at work');
  }
  if (doneAcknowledged) {
    throw new Broken(
      'a run begins after the end of another as done was acknowledged',
    );
  }
  if (cancelledAt < 0) {
    return;
  }
  if (cancelKnown) {
    throw new Broken('a start is sent after the cancellation was read');
  }
  if (sentAt - cancelledAt > INBOX_STALE_MS) {
    throw new Broken(
      'a start is sent, and accepted, too long after the cancellation',
    );
  }
  if (now - cancelledAt > INBOX_STALE_MS + TASK_LEASE_MS) {
    throw new Broken(
      'a late start is accepted too long after the cancellation',
    );
  }
}

function stop(state: State, { to, run }: Message): State {
  const worker = workerAt(state, to);
  const highestRun = Math.max(run, worker.highestRun);
  const noted = withWorker(state, to, { highestRun });
  return worker.active.includes(run)
    ? endRun(noted, to, run, 'stopped')
    : noted;
}

/** Ends a run at work and lists its end. */
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
  const noted = ended.filter(({ position }) => position <= acknowledged);
  if (noted.length === 0) {
    return state;
  }
  const recorded = new Map(
    recordsOf(state.journal).flatMap(record =>
      record.kind === 'end' ? [[record.run, record.how] as const] : [],
    ),
  );
  if (noted.some(({ run }) => !recorded.has(run))) {
    throw new Broken('an end is acknowledged that is not recorded');
  }
  // Work done by a worker that could not be reached until its lease had lapsed may be done again.
  const done = noted.some(
    ({ run, how }) => how === 'done' && recorded.get(run) !== 'lapsed',
  );
  return {
    ...withWorker(state, to, {
      ended: ended.filter(({ position }) => position > acknowledged),
    }),
    doneAcknowledged: state.doneAcknowledged || done,
  };
}

/** Lets time pass: runs whose lease is over end. */
export function passTime(state: State, now: Instant): State {
  let next: State = { ...state, now };
  for (const at of [0, 1]) {
    const { active, leaseUntil } = workerAt(next, at);
    for (const run of leaseUntil <= now ? active : []) {
      next = endRun(next, at, run, 'lapsed');
    }
  }
  return next;
}
