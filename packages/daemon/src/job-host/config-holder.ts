/** Follows the operator's configuration; never goes back to an older version. */
import type { Millis } from '@paddlewind/domain';
import type { ConfigFeed, OperatorConfig } from '@paddlewind/ports/jobs';

import { pause, type HostContext } from './context.js';

/**
 * Longest wait for a newer configuration in one read. A read that was lost to a network partition
 * has to time out and be repeated within the 3 s after which a host counts as connected again.
 */
const CONFIG_WAIT_MS: Millis = 1_500;
/** Pause between reads while the log does not answer. */
const CONFIG_RETRY_MS: Millis = 200;

/** Keeps the newest configuration read so far. */
export class ConfigFollower {
  private newest: OperatorConfig | undefined;
  /** Why the last entry read can't be used; undefined if it can. */
  private unreadable: string | undefined;

  /** Creates a follower without a configuration. */
  constructor(
    private readonly ctx: HostContext,
    private readonly feed: ConfigFeed,
  ) {}

  /** The newest configuration; undefined before the first. */
  get config(): OperatorConfig | undefined {
    return this.newest;
  }

  /** Follows the feed for the lifetime of the process. */
  async follow(): Promise<void> {
    for (;;) {
      const found = await this.feed.next(CONFIG_WAIT_MS);
      if (found.kind === 'value' || found.kind === 'unreadable') {
        this.noteUnreadable('reason' in found ? found.reason : undefined);
      }
      if (found.kind === 'value') {
        this.apply(found.value);
      } else {
        await pause(this.ctx, CONFIG_RETRY_MS);
      }
    }
  }

  /** Records that the newest entry can't be read; the configuration in force stays in force. */
  private noteUnreadable(reason: string | undefined): void {
    if (reason === this.unreadable) {
      return;
    }
    this.unreadable = reason;
    this.ctx.meters.unreadable('config', reason === undefined ? 0 : 1);
    if (reason !== undefined) {
      this.ctx.log.error({ reason }, 'config: the newest can not be read');
    }
  }

  private apply(found: OperatorConfig): void {
    if (this.newest !== undefined && found.version <= this.newest.version) {
      return;
    }
    this.newest = found;
    const { version, queues } = found;
    this.ctx.log.info({ version, queues: queues.length }, 'config: in force');
  }
}
