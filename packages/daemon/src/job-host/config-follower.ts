/** Follows the operator's configuration; it never goes back to an older version. */
import type { Millis } from '@paddlewind/domain';
import type { ConfigFeed, OperatorConfig } from '@paddlewind/ports/jobs';

import { pause, type HostContext } from './context.js';

/**
 * Longest wait for a newer configuration in one read. A read that a cut has swallowed must be given
 * up and repeated within the 3 s after which a host counts as connected again.
 */
const CONFIG_WAIT_MS: Millis = 1_500;
/** Pause before the configuration is asked for again while the log does not answer. */
const CONFIG_RETRY_MS: Millis = 200;

/** Keeps the newest configuration that was read. */
export class ConfigFollower {
  private newest: OperatorConfig | undefined;

  /** Creates a follower that knows no configuration yet. */
  constructor(
    private readonly ctx: HostContext,
    private readonly feed: ConfigFeed,
  ) {}

  /** The newest configuration, undefined before the first. */
  get config(): OperatorConfig | undefined {
    return this.newest;
  }

  /** Follows the feed for as long as the process runs. */
  async follow(): Promise<never> {
    for (;;) {
      const found = await this.feed.next(CONFIG_WAIT_MS);
      if (found.kind === 'value') {
        this.take(found.value);
      } else {
        await pause(this.ctx, CONFIG_RETRY_MS);
      }
    }
  }

  private take(found: OperatorConfig): void {
    if (this.newest !== undefined && found.version <= this.newest.version) {
      return;
    }
    this.newest = found;
    const { version, queues } = found;
    this.ctx.log.info({ version, queues: queues.length }, 'config: in force');
  }
}
