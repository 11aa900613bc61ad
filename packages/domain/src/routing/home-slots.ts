/** Division of the servers' slots between the entry hosts, the same on every host that has the same lists. */

/**
 * Returns the slots of `self` at each server, by address: dealt in turn, so that every entry host gets
 * the same number ±1, spread over as many servers as possible.
 */
export function homeSlotsOf(
  self: string,
  hosts: readonly string[],
  servers: readonly string[],
  slots: number,
): Map<string, number> {
  const own = [...hosts].sort().indexOf(self);
  const dealt = new Map<string, number>();
  if (own < 0) {
    return dealt;
  }
  const total = servers.length * slots;
  const sorted = [...servers].sort();
  for (let slot = own; slot < total; slot += hosts.length) {
    const server = sorted[Math.floor(slot / slots)] ?? '';
    dealt.set(server, (dealt.get(server) ?? 0) + 1);
  }
  return dealt;
}
