/** Whether the journal holds a record that this leader has reached a worker. */

/** Keeps track of the record that a worker was reached, which each report that it is unresponsive voids. */
export class ReachRecord {
  /**
   * Whether a record says that the worker was reached, and it has not been reported unresponsive since. Only
   * then does this leader extend the worker's lease.
   */
  private recorded = false;
  /** How often the worker was reported unresponsive; each report voids older records that it was reached. */
  private silenceReports = 0;
  /** Value of `silenceReports` for which the last record was requested. */
  private requestedFor = -1;

  /** Starts without a record; `write` writes one, and calls `done` once it is written. */
  constructor(private readonly write: (done: () => void) => void) {}

  /** Whether a record is in force. */
  get isRecorded(): boolean {
    return this.recorded;
  }

  /** Voids the record, since the end of the worker's lease was reported to other hosts. */
  noteSilenceReported(): void {
    this.recorded = false;
    this.silenceReports += 1;
  }

  /** Requests a record and resolves once it is written; undefined if one is in force or already requested. */
  request(): Promise<void> | undefined {
    const { silenceReports } = this;
    if (this.recorded || this.requestedFor === silenceReports) {
      return undefined;
    }
    this.requestedFor = silenceReports;
    return new Promise(resolve => {
      this.write(() => {
        this.recorded = silenceReports === this.silenceReports;
        resolve();
      });
    });
  }
}
