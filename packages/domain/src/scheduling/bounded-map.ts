/** A map that forgets its oldest keys beyond a limit, alike on every host. */

/** Returns whether `key` was new; the oldest keys beyond `limit` are forgotten. */
export function rememberKey<V>(
  map: Map<string, V>,
  key: string,
  value: V,
  limit: number,
): boolean {
  if (map.has(key)) {
    return false;
  }
  map.set(key, value);
  for (const oldest of map.keys()) {
    if (map.size <= limit) {
      break;
    }
    map.delete(oldest);
  }
  return true;
}
