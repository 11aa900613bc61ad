/** News of members that is passed on, each a bounded number of times. */

/** Ids of members with news, and how often each has been told. */
export interface NewsQueue {
  add(id: string): void;
  /** Takes up to `limit` ids, the least told first. */
  take(limit: number): string[];
  remove(id: string): void;
}

/** Factor over log2 of the members: SWIM tells each item a small multiple of log n times. */
const RETELL_FACTOR = 3;

/** Queues news among the number of members that `size` returns. */
export function createNewsQueue(size: () => number): NewsQueue {
  const told = new Map<string, number>();
  const limitOfTells = (): number =>
    RETELL_FACTOR * Math.ceil(Math.log2(size() + 2));
  return {
    add: id => void told.set(id, 0),
    remove: id => void told.delete(id),
    take(limit) {
      const ordered = [...told].sort((a, b) => a[1] - b[1]).slice(0, limit);
      for (const [id, times] of ordered) {
        if (times + 1 >= limitOfTells()) {
          told.delete(id);
        } else {
          told.set(id, times + 1);
        }
      }
      return ordered.map(([id]) => id);
    },
  };
}
