/** An append to the inbox that is sent a second time when the answer is late. */
import type { Millis } from '@paddlewind/domain';
import type { AppendResult, JobLog } from '@paddlewind/ports/jobs';

import { withTimeout } from './caller-view.js';
import type { HostContext } from './context.js';

/** Delay before the second attempt when the speed of the log is not known. */
export const HEDGE_DELAY_MS: Millis = 450;

/** When an append is sent a second time. */
export interface HedgeOnceOptions {
  /** Time without an answer after which the second attempt is sent. */
  readonly hedgeDelayMs?: Millis;
  /** Called when the connection of the first attempt breaks. */
  readonly onConnectionBroken?: () => void;
}

/**
 * Appends records to the inbox, with a second attempt when the answer is late or lost. Readers
 * apply duplicate records only once, so a lost answer costs a second append and not the request.
 */
export async function appendHedgedOnce(
  ctx: HostContext,
  jobLog: JobLog,
  records: readonly Uint8Array[],
  {
    hedgeDelayMs = HEDGE_DELAY_MS,
    onConnectionBroken = () => undefined,
  }: HedgeOnceOptions = {},
): Promise<AppendResult> {
  const first = jobLog.append('inbox', records);
  const firstResult = await withTimeout(ctx, first, hedgeDelayMs);
  if (firstResult !== undefined && firstResult.kind !== 'unknown') {
    return firstResult;
  }
  if (firstResult !== undefined) {
    onConnectionBroken();
  }
  const result = await firstSuccessOf(first, jobLog.append('inbox', records));
  return result.kind === 'appended'
    ? result
    : { kind: 'unknown', reason: 'the log did not answer in time' };
}

/** Resolves with the first append that succeeded, or with the last result if both failed. */
async function firstSuccessOf(
  first: Promise<AppendResult>,
  second: Promise<AppendResult>,
): Promise<AppendResult> {
  const winner = await Promise.race([first, second]);
  if (winner.kind === 'appended') {
    return winner;
  }
  const [a, b] = await Promise.all([first, second]);
  return a.kind === 'appended' ? a : b;
}
