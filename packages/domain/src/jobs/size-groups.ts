/** Tells the largest of many apart from the rest, as the users' target on sizes does. */

/** Size of a job among all of its queue. */
export type SizeGroup = 'largest tenth' | 'next largest fifth' | 'smaller';

/** Share of all that are larger than those of a group, and of those that are not smaller. */
const GROUPS: readonly (readonly [SizeGroup, number, number])[] = [
  ['largest tenth', 0, 0.1],
  ['next largest fifth', 0.1, 0.3],
  ['smaller', 0.3, 1],
];

/** Returns the groups that have members. */
export function sizeGroupsOf<T>(
  all: readonly T[],
  sizeOf: (each: T) => number,
): [SizeGroup, T[]][] {
  const sorted = [...all].sort((a, b) => sizeOf(b) - sizeOf(a));
  const at = (share: number): number => Math.round(share * sorted.length);
  return GROUPS.map(([group, from, to]): [SizeGroup, T[]] => [
    group,
    sorted.slice(at(from), at(to)),
  ]).filter(([, members]) => members.length > 0);
}
