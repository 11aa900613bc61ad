/** Whether the journal says that a worker was reached by this leader. */

/** The record that a worker was reached; reports that it was unresponsive void it. */
export class ReachRecord {
  /**
   * Whether a record says that the worker was reached, and it has not been reported unresponsive since. Only
   * then does this leader extend the lease.
   */
  private recorded = false;
  /** How often the worker was reported unresponsive; each report voids older records that it was reached. */
  private silenceReports = 0;
  /** Value of `silenceReports` for which the last record was requested. */
  private requestedFor = -1;

  /** Creates a state without a record; `write` writes one, and calls `done` once it is written. */
  constructor(private readonly write: (done: () => void) => void) {}

  /** Whether a record is in force. */
  get isRecorded(): boolean {
    return this.recorded;
  }

  /**
   * Notes that the worker's lease end was reported to other hosts. The lease is extended again only once they
   * have a newer record.
   */
  noteSilenceReported(): void {
    this.recorded = false;
    this.silenceReports += 1;
  }

  /** Resolves once a record that is requested now is written; undefined if none is needed. */
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
