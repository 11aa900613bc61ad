/** In-memory entries of the operator, which hosts follow through the same store as the log. */
import type { Millis } from '@paddlewind/domain';
import type {
  FeedResult,
  OperatorConfig,
  OperatorEntries,
  OperatorFeed,
  Published,
} from '@paddlewind/ports/jobs';

import type { JobHistory } from './job-history.js';
import type { LogMode, SimulatedTime } from './memory-job-log.js';

/** Response time of a read, in milliseconds. */
const RESPONSE_MS = 3;
/** Time after its wait at which a read without a response fails, in milliseconds. */
const WAIT_SLACK_MS = 800;

/** What the operator of a test publishes. */
export class MemoryOperator {
  /** The configuration; undefined if there is none. */
  config: OperatorConfig | undefined;

  /** Hosts that get no answer when they read the operator's entries, whatever the store does otherwise. */
  readonly silentTo = new Set<string>();

  private readonly evacuations = new Map<string, number>();
  private changes = 0;
  private waiting = new Set<() => void>();

  /** Creates an operator that has published nothing; `modeOf` tells how the store serves a host. */
  constructor(
    private readonly time: SimulatedTime,
    private readonly history: JobHistory,
    private readonly modeOf: (host: string) => LogMode,
  ) {}

  /** Evacuates a zone. */
  evacuate(availabilityZone: string): void {
    this.noteChange();
    this.evacuations.set(availabilityZone, this.changes);
    this.history.recordEvacuation(availabilityZone);
  }

  /** Ends the evacuation of a zone. */
  endEvacuation(availabilityZone: string): void {
    this.noteChange();
    this.evacuations.delete(availabilityZone);
    this.history.recordEvacuationEnd(availabilityZone);
  }

  /** Returns the feed of `host`. */
  connect(host: string): OperatorFeed {
    let seen = -1;
    return {
      next: async waitMs => {
        const mode = this.silentTo.has(host) ? 'silent' : this.modeOf(host);
        if (mode === 'silent') {
          await this.pause(waitMs + WAIT_SLACK_MS);
        }
        await this.pause(RESPONSE_MS);
        if (mode !== 'up' && mode !== 'losing') {
          return { kind: 'unavailable', reason: mode };
        }
        if (seen === this.changes) {
          await this.nextChange(waitMs);
        }
        seen = this.changes;
        return this.entries();
      },
    };
  }

  private entries(): FeedResult<OperatorEntries> {
    const { config } = this;
    const published: Published<OperatorConfig> =
      config === undefined
        ? { kind: 'none' }
        : { kind: 'value', value: config };
    const evacuations = [...this.evacuations].map(
      ([availabilityZone, offset]) => ({ availabilityZone, offset }),
    );
    return { kind: 'value', value: { config: published, evacuations } };
  }

  private noteChange(): void {
    this.changes += 1;
    const { waiting } = this;
    this.waiting = new Set();
    for (const resume of waiting) {
      resume();
    }
  }

  private nextChange(waitMs: Millis): Promise<void> {
    return new Promise(resolve => {
      const resume = (): void => {
        this.waiting.delete(resume);
        cancel();
        resolve();
      };
      const cancel = this.time.schedule(waitMs, resume);
      this.waiting.add(resume);
    });
  }

  private pause(span: Millis): Promise<void> {
    return new Promise(resolve => {
      this.time.schedule(span, resolve);
    });
  }
}
