/** Tells whether reports are from one incarnation of a worker. */
import { incarnationOf, workerIdOf } from '@paddlewind/domain/jobs';

import type { Report } from './reported-runs.js';

/**
 * The incarnation that reports are expected from. Some workers report their start time only in the registry;
 * one that has included it in an answer always does.
 */
export class ReportOrigin {
  /** Whether an answer has included the start time of this incarnation. */
  private reportsStartTime = false;

  /** Creates the origin; `id` returns the name of the incarnation. */
  constructor(private readonly id: () => string) {}

  /** Whether a report is from this incarnation. */
  isHere({ startedAt }: Report): boolean {
    if (startedAt === undefined) {
      return !this.reportsStartTime;
    }
    const id = this.id();
    const isFromHere = incarnationOf(workerIdOf(id), startedAt) === id;
    this.reportsStartTime ||= isFromHere;
    return isFromHere;
  }
}
