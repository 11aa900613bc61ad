/** Recognition of repeated records within a bounded window, alike on every host. */

/** Distinct record ids remembered per stream, see docs/design/log.md. */
export const DEDUPE_WINDOW = 8_192;

/** Remembers the ids of the last distinct records of a stream. */
export interface DedupeWindow {
  /** Tells whether `id` is new within the window, and remembers it if so. */
  take(id: string): boolean;
  /** Ids remembered, the oldest first; part of a snapshot. */
  ids(): string[];
}

/** Creates a window of `size` ids, restored from the `ids` of a snapshot. */
export function createDedupeWindow(
  ids: readonly string[] = [],
  size: number = DEDUPE_WINDOW,
): DedupeWindow {
  const seen = new Set<string>();

  function take(id: string): boolean {
    if (seen.has(id)) {
      return false;
    }
    seen.add(id);
    if (seen.size > size) {
      dropOldest(seen);
    }
    return true;
  }

  ids.forEach(take);
  return { take, ids: () => [...seen] };
}

function dropOldest(seen: Set<string>): void {
  for (const id of seen) {
    seen.delete(id);
    return;
  }
}
