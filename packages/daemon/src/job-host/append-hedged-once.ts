/** An append to the inbox that is sent once more when the answer is late. */
import type { Millis } from '@paddlewind/domain';
import type { AppendResult, JobLog } from '@paddlewind/ports/jobs';

import { within } from './caller-view.js';
import type { HostContext } from './context.js';

/** Time after which an append is sent once more where nothing is known of how fast the log is. */
export const SECOND_TRY_MS: Millis = 450;

/** How an append is repeated. */
export interface AppendTwiceOptions {
  /** Time after which it is sent once more. */
  readonly secondTryMs?: Millis;
  /** Called when the first one breaks off. */
  readonly brokenOff?: () => void;
}

/**
 * Appends records, which a reader takes in once however often they are there. An answer that is lost
 * costs a second append, not the request.
 */
export async function appendTwice(
  ctx: HostContext,
  jobLog: JobLog,
  records: readonly Uint8Array[],
  {
    secondTryMs = SECOND_TRY_MS,
    brokenOff = () => undefined,
  }: AppendTwiceOptions = {},
): Promise<AppendResult> {
  const first = jobLog.append('inbox', records);
  const early = await within(ctx, first, secondTryMs);
  if (early !== undefined && early.kind !== 'unknown') {
    return early;
  }
  if (early !== undefined) {
    brokenOff();
  }
  const late = await eitherAppended(first, jobLog.append('inbox', records));
  return late.kind === 'appended'
    ? late
    : { kind: 'unknown', reason: 'the log did not answer in time' };
}

/** Resolves with the first append that was carried out, or with the last outcome. */
async function eitherAppended(
  first: Promise<AppendResult>,
  second: Promise<AppendResult>,
): Promise<AppendResult> {
  const earlier = await Promise.race([first, second]);
  if (earlier.kind === 'appended') {
    return earlier;
  }
  const [a, b] = await Promise.all([first, second]);
  return a.kind === 'appended' ? a : b;
}
