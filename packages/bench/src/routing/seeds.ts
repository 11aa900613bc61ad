/** Seeds of runs, as given on the command line. */

/** Returns the seeds of a range such as `101-103`. */
export function seedsOf(range: string): number[] {
  const [from = 1, to = from] = range.split('-').map(Number);
  return Array.from({ length: to - from + 1 }, (_, index) => from + index);
}
