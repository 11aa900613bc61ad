/** The fences that an agent has seen: it refuses commands of a superseded owner or decision. */
import type { AttemptRef, Fence } from '@paddlewind/ports';

/** Remembers the newest epoch of each shard and the newest decision on each task. */
export interface Fences {
  /** Tells whether a command on `ref` may go ahead, and remembers its fence. */
  admit(fence: Fence, ref?: AttemptRef): boolean;
}

/** Creates fences that have seen nothing. */
export function createFences(): Fences {
  const epochs = new Map<string, number>();
  const offsets = new Map<string, number>();

  return {
    admit(fence, ref) {
      const seen = epochs.get(fence.shard) ?? -1;
      if (fence.epoch < seen) {
        return false;
      }
      if (fence.epoch > seen) {
        epochs.set(fence.shard, fence.epoch);
      }
      if (ref === undefined) {
        return true;
      }
      const key = `${fence.shard}/${fence.epoch}/${ref.task}`;
      if (fence.offset < (offsets.get(key) ?? -1)) {
        return false;
      }
      offsets.set(key, fence.offset);
      return true;
    },
  };
}
