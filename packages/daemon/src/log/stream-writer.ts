/** Writes batches to one stream with one append in flight; settles lost replies by reading back. */
import { encodeBatch, type AppError } from '@paddlewind/domain';
import type { LogService } from '@paddlewind/ports';
import { Result } from 'true-myth';

import type { PartContext, Stop } from '../parts.js';
import type { AppendBudget } from './append-budget.js';
import {
  unsettledError,
  type CommitQueue,
  type PendingRecord,
} from './commit-queue.js';
import type { LogMetrics } from './metrics.js';
import { classOfStream, type AppendClass } from './priority.js';
import { readBack, readBounds } from './read-back.js';
import { backoffMs, scheduleOf, sleep } from './timing.js';

/** Options of a stream writer. */
export interface StreamWriterOptions {
  readonly stream: string;
  readonly log: LogService;
  readonly ctx: PartContext;
  readonly budget: AppendBudget;
  readonly queue: CommitQueue;
  readonly metrics: LogMetrics;
}

/** Writer of one stream. */
export interface StreamWriter {
  /** Queues a record; returns false if the queue is full or the writer has stopped. */
  offer(pending: PendingRecord): boolean;
  /** Number of records that are queued or in flight. */
  waiting(): number;
  stop: Stop;
}

interface WriterState extends StreamWriterOptions {
  readonly streamClass: AppendClass;
  readonly abort: AbortController;
  /** Batch that is being written. */
  inFlight: readonly PendingRecord[];
  /** Lower bound of the stream's head; undefined until it was read. */
  head: number | undefined;
  failures: number;
  maxRecords: number;
  running: boolean;
  /** Request for append budget that was not granted yet. */
  budgetRequest: { appendClass: AppendClass; withdraw: Stop } | undefined;
  onBudgetGranted: () => void;
}

/** Starts the writer of a stream. It reads the head before its first append. */
export function startStreamWriter(options: StreamWriterOptions): StreamWriter {
  const state: WriterState = {
    ...options,
    streamClass: classOfStream(options.stream),
    abort: new AbortController(),
    inFlight: [],
    head: undefined,
    failures: 0,
    maxRecords: Infinity,
    running: false,
    budgetRequest: undefined,
    onBudgetGranted: () => undefined,
  };
  return {
    offer: pending => offer(state, pending),
    waiting: () => state.queue.size() + state.inFlight.length,
    stop: () => {
      stop(state);
    },
  };
}

function offer(state: WriterState, pending: PendingRecord): boolean {
  if (isStopped(state) || !state.queue.offer(pending)) {
    return false;
  }
  const { budgetRequest } = state;
  if (
    budgetRequest !== undefined &&
    budgetRequest.appendClass !== frontClass(state)
  ) {
    requestBudget(state);
  }
  if (!state.running) {
    void run(state);
  }
  return true;
}

function isStopped(state: WriterState): boolean {
  return state.abort.signal.aborted;
}

function frontClass({ queue, streamClass }: WriterState): AppendClass {
  return queue.front() === 'snapshots' ? 'snapshots' : streamClass;
}

async function run(state: WriterState): Promise<void> {
  state.running = true;
  // Records offered in the same turn of the event loop go into one batch.
  await Promise.resolve();
  while (!isStopped(state) && hasWork(state)) {
    await writeNext(state);
  }
  state.running = false;
}

function hasWork({ queue }: WriterState): boolean {
  queue.removeSettled();
  return queue.front() !== 'nothing';
}

async function writeNext(state: WriterState): Promise<void> {
  if (state.head === undefined && !(await readHead(state))) {
    return;
  }
  await waitForBudget(state);
  const batch = state.queue.takeBatch(state.maxRecords);
  state.inFlight = batch;
  const uncertain = batch.filter(pending => pending.attemptState === 'unknown');
  const isSettled =
    uncertain.length === 0 || (await settleByReading(state, uncertain));
  const rest = batch.filter(pending => !pending.settled);
  if (isSettled && rest.length > 0 && !isStopped(state)) {
    await append(state, rest);
  }
  state.inFlight = [];
  state.queue.requeue(rest);
}

async function readHead(state: WriterState): Promise<boolean> {
  const bounds = await readBounds(state.log, state.stream);
  if (bounds.isErr) {
    await backOff(state, bounds.error);
    return false;
  }
  state.head = bounds.value.head;
  return true;
}

function waitForBudget(state: WriterState): Promise<void> {
  return new Promise(resolve => {
    state.onBudgetGranted = resolve;
    requestBudget(state);
  });
}

function requestBudget(state: WriterState): void {
  state.budgetRequest?.withdraw();
  const appendClass = frontClass(state);
  const withdraw = state.budget.request(state.stream, appendClass, () => {
    state.budgetRequest = undefined;
    state.onBudgetGranted();
  });
  state.budgetRequest = { appendClass, withdraw };
}

/** Settles the records found in the stream; returns false if the stream could not be read. */
async function settleByReading(
  state: WriterState,
  uncertain: readonly PendingRecord[],
): Promise<boolean> {
  const ids = new Set(uncertain.map(pending => pending.record.id));
  const from = Math.min(...uncertain.map(pending => pending.minOffset ?? 0));
  const read = await readBack(state.log, state.stream, ids, from);
  if (read.isErr) {
    await backOff(state, read.error);
    return false;
  }
  raiseHead(state, read.value.end);
  state.metrics.settledByReading(read.value.found.size);
  for (const pending of uncertain) {
    const position = read.value.found.get(pending.record.id);
    if (position !== undefined) {
      pending.settle(Result.ok(position));
    }
  }
  return true;
}

function raiseHead(state: WriterState, head: number): void {
  state.head = Math.max(state.head ?? 0, head);
}

async function append(
  state: WriterState,
  batch: readonly PendingRecord[],
): Promise<void> {
  const { ctx, log, stream, metrics, budget } = state;
  for (const pending of batch) {
    pending.minOffset ??= state.head ?? 0;
    pending.attemptState =
      pending.attemptState === 'unknown' ? 'unknown' : 'in_flight';
  }
  const sentAt = ctx.clock();
  const payload = encodeBatch(batch.map(pending => pending.record));
  const appended = await log.append(stream, payload);
  const seconds = (ctx.clock() - sentAt) / 1_000;
  const outcome = appended.isOk ? 'acknowledged' : outcomeOf(appended.error);
  metrics.appended(state.streamClass, outcome, batch.length, seconds);
  metrics.setBudget(budget.perSecond());
  if (appended.isOk) {
    acknowledge(state, batch, appended.value);
  } else {
    await handleAppendError(state, batch, appended.error);
  }
}

/**
 * Settles the batch, except records with an earlier attempt of unknown outcome: those may have been
 * written before `offset`.
 */
function acknowledge(
  state: WriterState,
  batch: readonly PendingRecord[],
  offset: number,
): void {
  if (state.failures > 0) {
    const { ctx, stream } = state;
    ctx.log.info({ stream }, `log: ${stream} is written again`);
  }
  state.failures = 0;
  state.maxRecords *= 2;
  raiseHead(state, offset + 1);
  batch.forEach((pending, index) => {
    if (pending.attemptState === 'in_flight') {
      pending.settle(Result.ok({ offset, index }));
    }
  });
}

async function handleAppendError(
  state: WriterState,
  batch: readonly PendingRecord[],
  error: AppError,
): Promise<void> {
  const outcome = outcomeOf(error);
  for (const pending of batch) {
    if (outcome === 'unknown') {
      pending.attemptState = 'unknown';
    } else if (pending.attemptState === 'in_flight') {
      pending.attemptState = 'not_sent';
    }
  }
  if (error.kind === 'overloaded') {
    state.budget.onRefused();
  }
  if (isPermanentRefusal(error)) {
    handleRejection(state, batch, error);
  }
  await backOff(state, error);
}

/** Halves the size of the next batch to isolate the rejected record; fails it once it is alone. */
function handleRejection(
  state: WriterState,
  batch: readonly PendingRecord[],
  error: AppError,
): void {
  state.maxRecords = Math.ceil(batch.length / 2);
  if (batch.length === 1) {
    batch[0]?.settle(Result.err(error));
  }
}

async function backOff(state: WriterState, error: AppError): Promise<void> {
  const { ctx, stream, abort } = state;
  state.failures++;
  if (state.failures === 1) {
    ctx.log.warn({ stream, err: error }, `log: ${stream} cannot be written`);
  }
  const backoff = backoffMs(state.failures, ctx.random);
  const delay = Math.max(backoff, error.retryAfterMs ?? 0);
  await sleep(scheduleOf(ctx), delay, abort.signal);
}

function stop(state: WriterState): void {
  state.abort.abort();
  state.budgetRequest?.withdraw();
  for (const pending of [...state.inFlight, ...state.queue.clear()]) {
    pending.settle(Result.err(unsettledError(pending)));
  }
  state.onBudgetGranted();
}

function outcomeOf(error: AppError): 'not_run' | 'unknown' {
  return error.outcome === 'not_run' ? 'not_run' : 'unknown';
}

/** Returns whether the log would refuse the same append again. */
function isPermanentRefusal(error: AppError): boolean {
  return (
    error.outcome === 'not_run' &&
    error.kind !== 'log_unavailable' &&
    error.kind !== 'overloaded'
  );
}
