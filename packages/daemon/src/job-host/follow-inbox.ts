/** Follows the inbox on a leader. */
import { pause, type HostContext } from './context.js';
import type { Replica } from './replica.js';
import { INBOX_READ_WAIT_MS, INBOX_RETRY_DELAY_MS } from './timing.js';

/** Dependencies and callbacks of the follower. */
export interface InboxFollowerOptions {
  readonly ctx: HostContext;
  readonly replica: Replica;
  readonly hasEnded: () => boolean;
  /** The log has dropped records that this host lacks. */
  readonly onGap: () => void;
  /** New records were read. */
  readonly onNew: () => void;
}

/** Reads the inbox until the leader has ended. */
export async function followInbox({
  ctx,
  replica,
  hasEnded,
  onGap,
  onNew,
}: InboxFollowerOptions): Promise<void> {
  while (!hasEnded()) {
    const before = replica.nextOffset('inbox');
    if (replica.hasGap) {
      onGap();
    } else if (!(await replica.readToEnd('inbox', INBOX_READ_WAIT_MS))) {
      await pause(ctx, INBOX_RETRY_DELAY_MS);
    } else if (replica.nextOffset('inbox') !== before) {
      onNew();
    }
  }
}
