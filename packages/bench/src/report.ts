/** Output of benchmarks. */

/** A line of results; values are numbers with their unit in the name, such as `p99Ms`. */
export type ResultLine = Readonly<
  Record<string, string | number | boolean | null>
>;

/** Prints one result as one line of JSON on standard output. */
export function report(line: ResultLine): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

/** Rounds to `decimals` places. */
export function roundTo(value: number, decimals: number): number {
  const scale = 10 ** decimals;
  return Math.round(value * scale) / scale;
}
