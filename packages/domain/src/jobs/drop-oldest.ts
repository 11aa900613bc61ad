/** Bounds what is remembered: a map or a set drops its oldest entries. */

/** Deletes the entries that were added first until at most `maximum` are left. */
export function dropOldest<K>(
  entries: Pick<Map<K, unknown>, 'size' | 'keys' | 'delete'>,
  maximum: number,
): void {
  for (const oldest of entries.keys()) {
    if (entries.size <= maximum) {
      return;
    }
    entries.delete(oldest);
  }
}
