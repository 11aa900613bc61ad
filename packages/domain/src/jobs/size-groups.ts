/** Size groups by rank among all jobs of a queue, as used in the users' target on job sizes. */

/** Group of a job by its size, relative to the other jobs of its queue. */
export type SizeGroup = 'largest tenth' | 'next largest fifth' | 'smaller';

/** Bounds of each group, as fractions of all members sorted from the largest to the smallest. */
const GROUPS: readonly (readonly [SizeGroup, number, number])[] = [
  ['largest tenth', 0, 0.1],
  ['next largest fifth', 0.1, 0.3],
  ['smaller', 0.3, 1],
];

/** Divides `all` into size groups; returns those that are not empty. */
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
