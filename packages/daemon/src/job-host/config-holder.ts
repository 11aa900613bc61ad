/** Holds the operator's configuration; never goes back to an older version. */
import type { OperatorConfig, Published } from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';

/** Keeps the newest configuration read so far. */
export class ConfigHolder {
  private newest: OperatorConfig | undefined;
  /** Why the last entry read can't be used; undefined if it can. */
  private unreadable: string | undefined;

  /** Creates a holder without a configuration. */
  constructor(private readonly ctx: HostContext) {}

  /** The newest configuration; undefined before the first. */
  get config(): OperatorConfig | undefined {
    return this.newest;
  }

  /** Applies the configuration that was read last; one that can't be read leaves the last one in force. */
  apply(found: Published<OperatorConfig>): void {
    switch (found.kind) {
      case 'none':
        return;
      case 'unreadable':
        this.noteUnreadable(found.reason);
        return;
      case 'value':
        this.noteUnreadable(undefined);
        this.replace(found.value);
        return;
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

  private replace(found: OperatorConfig): void {
    if (this.newest !== undefined && found.version <= this.newest.version) {
      return;
    }
    this.newest = found;
    const { version, queues } = found;
    this.ctx.log.info({ version, queues: queues.length }, 'config: in force');
  }
}
