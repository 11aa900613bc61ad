/** Writes the batches of one stream, one append in flight, and settles lost answers by reading. */
import { encodeBatch, type AppError } from '@paddlewind/domain';
import type { LogService } from '@paddlewind/ports';
import { Result } from 'true-myth';

import type { PartContext, Stop } from '../parts.js';
import type { AppendBudget } from './append-budget.js';
import {
  expired,
  type CommitQueue,
  type PendingRecord,
} from './commit-queue.js';
import type { LogMetrics } from './metrics.js';
import { classOfStream, type AppendClass } from './priority.js';
import { readBack, readEnds } from './read-back.js';
import { backoffMs, scheduleOf, sleep } from './timing.js';

/** What a writer is started with. */
export interface StreamWriterOptions {
  readonly stream: string;
  readonly log: LogService;
  readonly ctx: PartContext;
  readonly budget: AppendBudget;
  readonly queue: CommitQueue;
  readonly metrics: LogMetrics;
}

/** Writes one stream until stopped. */
export interface StreamWriter {
  /** Takes a record to be written; false when too many wait. */
  offer(pending: PendingRecord): boolean;
  /** Records not yet answered. */
  waiting(): number;
  stop: Stop;
}

interface Writing extends StreamWriterOptions {
  readonly streamClass: AppendClass;
  readonly abort: AbortController;
  /** The batch in flight. */
  sending: readonly PendingRecord[];
  /** A lower bound of the stream's head; undefined until read. */
  head: number | undefined;
  failures: number;
  maxRecords: number;
  running: boolean;
  /** The request for budget that has not been granted. */
  requested: { priority: AppendClass; withdraw: Stop } | undefined;
  granted: () => void;
}

/** Starts the writer of a stream; it reads the head before its first append. */
export function startStreamWriter(options: StreamWriterOptions): StreamWriter {
  const writing: Writing = {
    ...options,
    streamClass: classOfStream(options.stream),
    abort: new AbortController(),
    sending: [],
    head: undefined,
    failures: 0,
    maxRecords: Infinity,
    running: false,
    requested: undefined,
    granted: () => undefined,
  };
  return {
    offer: pending => offer(writing, pending),
    waiting: () => writing.queue.size() + writing.sending.length,
    stop: () => {
      stop(writing);
    },
  };
}

function offer(writing: Writing, pending: PendingRecord): boolean {
  if (isStopped(writing) || !writing.queue.offer(pending)) {
    return false;
  }
  const { requested } = writing;
  if (requested !== undefined && requested.priority !== frontClass(writing)) {
    requestBudget(writing);
  }
  if (!writing.running) {
    void run(writing);
  }
  return true;
}

function isStopped(writing: Writing): boolean {
  return writing.abort.signal.aborted;
}

function frontClass({ queue, streamClass }: Writing): AppendClass {
  return queue.front() === 'snapshots' ? 'snapshots' : streamClass;
}

async function run(writing: Writing): Promise<void> {
  writing.running = true;
  // Records offered in the same turn go into one batch.
  await Promise.resolve();
  while (!isStopped(writing) && hasWork(writing)) {
    await writeNext(writing);
  }
  writing.running = false;
}

function hasWork({ queue }: Writing): boolean {
  queue.prune();
  return queue.front() !== 'nothing';
}

async function writeNext(writing: Writing): Promise<void> {
  if (writing.head === undefined && !(await learnHead(writing))) {
    return;
  }
  await budgetGranted(writing);
  const batch = writing.queue.takeBatch(writing.maxRecords);
  writing.sending = batch;
  const uncertain = batch.filter(pending => pending.tries === 'unknown');
  const isSettled =
    uncertain.length === 0 || (await settleByReading(writing, uncertain));
  const rest = batch.filter(pending => !pending.settled);
  if (isSettled && rest.length > 0 && !isStopped(writing)) {
    await append(writing, rest);
  }
  writing.sending = [];
  writing.queue.putBack(rest);
}

async function learnHead(writing: Writing): Promise<boolean> {
  const ends = await readEnds(writing.log, writing.stream);
  if (ends.isErr) {
    await waitAfter(writing, ends.error);
    return false;
  }
  writing.head = ends.value.head;
  return true;
}

function budgetGranted(writing: Writing): Promise<void> {
  return new Promise(resolve => {
    writing.granted = resolve;
    requestBudget(writing);
  });
}

function requestBudget(writing: Writing): void {
  writing.requested?.withdraw();
  const priority = frontClass(writing);
  const withdraw = writing.budget.request(writing.stream, priority, () => {
    writing.requested = undefined;
    writing.granted();
  });
  writing.requested = { priority, withdraw };
}

/** Answers the records that are found; false when the stream could not be read. */
async function settleByReading(
  writing: Writing,
  uncertain: readonly PendingRecord[],
): Promise<boolean> {
  const ids = new Set(uncertain.map(pending => pending.record.id));
  const from = Math.min(...uncertain.map(pending => pending.since ?? 0));
  const read = await readBack(writing.log, writing.stream, ids, from);
  if (read.isErr) {
    await waitAfter(writing, read.error);
    return false;
  }
  raiseHead(writing, read.value.end);
  writing.metrics.settledByReading(read.value.found.size);
  for (const pending of uncertain) {
    const position = read.value.found.get(pending.record.id);
    if (position !== undefined) {
      pending.settle(Result.ok(position));
    }
  }
  return true;
}

function raiseHead(writing: Writing, head: number): void {
  writing.head = Math.max(writing.head ?? 0, head);
}

async function append(
  writing: Writing,
  batch: readonly PendingRecord[],
): Promise<void> {
  const { ctx, log, stream, metrics, budget } = writing;
  for (const pending of batch) {
    pending.since ??= writing.head ?? 0;
    pending.tries = pending.tries === 'unknown' ? 'unknown' : 'in_flight';
  }
  const sentAt = ctx.clock();
  const payload = encodeBatch(batch.map(pending => pending.record));
  const appended = await log.append(stream, payload);
  const seconds = (ctx.clock() - sentAt) / 1_000;
  const outcome = appended.isOk ? 'acknowledged' : outcomeOf(appended.error);
  metrics.appended(writing.streamClass, outcome, batch.length, seconds);
  metrics.budget(budget.perSecond());
  if (appended.isOk) {
    acknowledge(writing, batch, appended.value);
  } else {
    await appendFailed(writing, batch, appended.error);
  }
}

/** Answers the batch, but for records with an earlier unknown try: those may stand before `offset`. */
function acknowledge(
  writing: Writing,
  batch: readonly PendingRecord[],
  offset: number,
): void {
  if (writing.failures > 0) {
    const { ctx, stream } = writing;
    ctx.log.info({ stream }, `log: ${stream} is written again`);
  }
  writing.failures = 0;
  writing.maxRecords *= 2;
  raiseHead(writing, offset + 1);
  batch.forEach((pending, index) => {
    if (pending.tries === 'in_flight') {
      pending.settle(Result.ok({ offset, index }));
    }
  });
}

async function appendFailed(
  writing: Writing,
  batch: readonly PendingRecord[],
  error: AppError,
): Promise<void> {
  const outcome = outcomeOf(error);
  for (const pending of batch) {
    if (outcome === 'unknown') {
      pending.tries = 'unknown';
    } else if (pending.tries === 'in_flight') {
      pending.tries = 'not_sent';
    }
  }
  if (error.kind === 'overloaded') {
    writing.budget.refused();
  }
  if (isRefusedForGood(error)) {
    refuse(writing, batch, error);
  }
  await waitAfter(writing, error);
}

/** Halves the next batch, so that one bad record does not fail its neighbours. */
function refuse(
  writing: Writing,
  batch: readonly PendingRecord[],
  error: AppError,
): void {
  writing.maxRecords = Math.ceil(batch.length / 2);
  if (batch.length === 1) {
    batch[0]?.settle(Result.err(error));
  }
}

async function waitAfter(writing: Writing, error: AppError): Promise<void> {
  const { ctx, stream, abort } = writing;
  writing.failures++;
  if (writing.failures === 1) {
    ctx.log.warn({ stream, err: error }, `log: ${stream} cannot be written`);
  }
  const wait = backoffMs(writing.failures, ctx.random);
  const span = Math.max(wait, error.retryAfterMs ?? 0);
  await sleep(scheduleOf(ctx), span, abort.signal);
}

function stop(writing: Writing): void {
  writing.abort.abort();
  writing.requested?.withdraw();
  for (const pending of [...writing.sending, ...writing.queue.clear()]) {
    pending.settle(Result.err(expired(pending)));
  }
  writing.granted();
}

function outcomeOf(error: AppError): 'not_run' | 'unknown' {
  return error.outcome === 'not_run' ? 'not_run' : 'unknown';
}

/** Tells whether the log will refuse the same append again. */
function isRefusedForGood(error: AppError): boolean {
  return (
    error.outcome === 'not_run' &&
    error.kind !== 'log_unavailable' &&
    error.kind !== 'overloaded'
  );
}
