/** Deduplication of records within a bounded window, with the same result on every host. */

/** Number of distinct record ids kept per stream, see docs/design/log.md. */
export const DEDUPE_WINDOW = 8_192;

/** Ids of the most recent distinct records of a stream. */
export interface DedupeWindow {
  /** Adds `id` to the window; returns false if it is already there. */
  addIfNew(id: string): boolean;
  /** Ids in the window, oldest first; part of a snapshot. */
  ids(): string[];
}

/** Creates a window of at most `size` ids that starts with the `ids` of a snapshot. */
export function createDedupeWindow(
  ids: readonly string[] = [],
  size: number = DEDUPE_WINDOW,
): DedupeWindow {
  const seen = new Set<string>();

  function addIfNew(id: string): boolean {
    if (seen.has(id)) {
      return false;
    }
    seen.add(id);
    if (seen.size > size) {
      evictOldest(seen);
    }
    return true;
  }

  ids.forEach(addIfNew);
  return { addIfNew, ids: () => [...seen] };
}

function evictOldest(seen: Set<string>): void {
  for (const id of seen) {
    seen.delete(id);
    return;
  }
}
