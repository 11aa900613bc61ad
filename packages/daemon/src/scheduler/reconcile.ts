/** Compares what is decided for a worker with what its agent reports. */
import {
  decision,
  type Decision,
  type Instant,
  type JobSpec,
} from '@paddlewind/domain';
import type {
  AttemptRef,
  AttemptReport,
  StartSpec,
  WorkerReport,
} from '@paddlewind/ports';

import { attemptKey, type SentStart, type WorkerLink } from './worker-link.js';

/** An attempt that is decided to be on the worker. */
export interface PlacedAttempt {
  readonly ref: AttemptRef;
  readonly job: JobSpec;
  readonly size: StartSpec['size'];
  readonly checkpoint: string | undefined;
  /** Reason of the eviction, when it is to be stopped. */
  readonly evicting: string | undefined;
}

/** What to do at a worker. */
export type WorkerStep =
  | { readonly kind: 'start'; readonly placed: PlacedAttempt }
  | {
      readonly kind: 'stop';
      readonly ref: AttemptRef;
      readonly checkpoint: boolean;
    }
  | { readonly kind: 'end'; readonly decision: Decision }
  | { readonly kind: 'acknowledge'; readonly ref: AttemptRef };

/** What the comparison is made on. */
export interface ReconcileInput {
  readonly shard: string;
  readonly epoch: number;
  readonly placed: readonly PlacedAttempt[];
  readonly report: WorkerReport;
  /** When the sync that the report answers was sent. */
  readonly sentAt: Instant;
  readonly starts: WorkerLink['starts'];
  /** Tells whether another shard decided to have the attempt there. */
  readonly isElsewhere: (ref: AttemptRef) => boolean;
  readonly wall: Instant;
}

/** Returns the steps that bring the worker and the decisions together. */
export function reconcile(input: ReconcileInput): WorkerStep[] {
  const reported = new Map(
    input.report.attempts.map(report => [attemptKey(report), report]),
  );
  const placed = new Set(input.placed.map(each => attemptKey(each.ref)));
  const strays = input.report.attempts.filter(
    report => !placed.has(attemptKey(report)) && !input.isElsewhere(report),
  );
  return [
    ...input.placed.flatMap(each =>
      placedSteps(input, each, reported.get(attemptKey(each.ref))),
    ),
    ...strays.flatMap(straySteps),
  ];
}

function placedSteps(
  input: ReconcileInput,
  placed: PlacedAttempt,
  report: AttemptReport | undefined,
): WorkerStep[] {
  if (report === undefined) {
    return missingSteps(input, placed);
  }
  switch (report.state) {
    case 'completed':
    case 'failed':
    case 'stopped': {
      const made = endOf(input, report, resultOf(input, placed, report));
      return [{ kind: 'end', decision: made }];
    }
    case 'running':
      return placed.evicting === undefined ? [] : [stopOf(placed)];
    case 'stopping':
      return [];
  }
}

function missingSteps(
  input: ReconcileInput,
  placed: PlacedAttempt,
): WorkerStep[] {
  const sent = input.starts.get(attemptKey(placed.ref));
  if (placed.evicting !== undefined && isLostHeld(input, placed, sent)) {
    return [lossOf(input, placed.ref)];
  }
  // The agent answers a stop of an attempt that it doesn't know by reporting it as stopped.
  if (placed.evicting !== undefined) {
    return [stopOf(placed)];
  }
  if (sent?.inFlight === true) {
    return [];
  }
  const { confirmedAt } = sent ?? {};
  if (confirmedAt !== undefined) {
    const gone = input.sentAt > confirmedAt;
    return gone ? [lossOf(input, placed.ref)] : [];
  }
  if (placed.job.onLostWorker === 'hold') {
    return heldSteps(input, placed, sent);
  }
  return [{ kind: 'start', placed }];
}

/** Tells whether an attempt that must not repeat, and that the agent does not know, may have begun. */
function isLostHeld(
  input: ReconcileInput,
  { job }: PlacedAttempt,
  sent: SentStart | undefined,
): boolean {
  const gone = input.sentAt > (sent?.confirmedAt ?? Infinity);
  const begun = gone || mayHaveRun(sent, input.report);
  return job.onLostWorker === 'hold' && begun;
}

/** Sends a start again only on a report that would name the attempt, had it ever begun. */
function heldSteps(
  input: ReconcileInput,
  placed: PlacedAttempt,
  sent: SentStart | undefined,
): WorkerStep[] {
  if (mayHaveRun(sent, input.report)) {
    return [lossOf(input, placed.ref)];
  }
  // An older report may be from before the start arrived, and its agent restarted since.
  const outdated = input.sentAt < (sent?.givenUpAt ?? -Infinity);
  return outdated ? [] : [{ kind: 'start', placed }];
}

/** Tells whether an earlier run of the agent may have begun the attempt before it was restarted. */
function mayHaveRun(
  sent: SentStart | undefined,
  report: WorkerReport,
): boolean {
  return sent !== undefined && sent.boot !== report.boot;
}

function straySteps(report: AttemptReport): WorkerStep[] {
  const ref = { task: report.task, attempt: report.attempt };
  switch (report.state) {
    case 'running':
      return [{ kind: 'stop', ref, checkpoint: false }];
    case 'stopping':
      return [];
    case 'completed':
    case 'failed':
    case 'stopped':
      return [{ kind: 'acknowledge', ref }];
  }
}

function stopOf(placed: PlacedAttempt): WorkerStep {
  const checkpoint = placed.evicting !== 'cancelled';
  return { kind: 'stop', ref: placed.ref, checkpoint };
}

/** Longest text of an agent that is recorded. */
const MAX_TEXT = 1_000;

type EndResult = 'completed' | 'failed' | 'stopped' | 'lost';

/** A task that must not repeat is lost if nobody asked for its stop, or another run of the agent reports it. */
function resultOf(
  { starts, report: { boot } }: ReconcileInput,
  { ref, job, evicting }: PlacedAttempt,
  { state }: AttemptReport,
): EndResult {
  if (state === 'completed' || state === 'failed') {
    return state;
  }
  const seen = starts.get(attemptKey(ref))?.seenBoot ?? boot;
  const asked = evicting !== undefined && seen === boot;
  return job.onLostWorker === 'hold' && !asked ? 'lost' : 'stopped';
}

function endOf(
  input: ReconcileInput,
  report: AttemptReport,
  result: EndResult,
): Decision {
  const { checkpoint, message } = report;
  // A checkpoint's name must not be cut: without it the task resumes from the one before.
  const usable = checkpoint !== undefined && checkpoint.length <= MAX_TEXT;
  const progress = Math.min(1, Math.max(0, report.progress));
  return decision('task_ended', {
    shard: input.shard,
    epoch: input.epoch,
    task: report.task,
    attempt: report.attempt,
    atWall: input.wall,
    result,
    ...(usable ? { checkpoint } : {}),
    ...(Number.isNaN(progress) ? {} : { progress }),
    ...(message === undefined ? {} : { message: message.slice(0, MAX_TEXT) }),
  });
}

function lossOf(input: ReconcileInput, ref: AttemptRef): WorkerStep {
  return { kind: 'end', decision: lostAttempt(input, ref) };
}

/** Returns the record of an attempt that is gone with its worker or agent. */
export function lostAttempt(
  by: Pick<ReconcileInput, 'shard' | 'epoch' | 'wall'>,
  ref: AttemptRef,
): Decision {
  return decision('task_ended', {
    shard: by.shard,
    epoch: by.epoch,
    task: ref.task,
    attempt: ref.attempt,
    atWall: by.wall,
    result: 'lost',
  });
}
