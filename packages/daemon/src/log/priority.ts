/** Classes of appends and their weights: what is shed first when the log is slow. */

/** Classes of appends, the first served before the last. */
export const APPEND_CLASSES = [
  'leases',
  'decisions',
  'config',
  'keys',
  'other',
  'snapshots',
] as const;

/** A class of appends. */
export type AppendClass = (typeof APPEND_CLASSES)[number];

/** Kinds of records that carry snapshots begin so. */
export const SNAPSHOT_KIND_PREFIX = 'snapshot';

/** Shares of the append budget while classes compete; leases go before all others. */
export const CLASS_WEIGHTS: Readonly<Record<AppendClass, number>> = {
  leases: 64,
  decisions: 16,
  config: 8,
  keys: 4,
  other: 2,
  snapshots: 1,
};

/** Returns the class of a stream by its name. */
export function classOfStream(stream: string): AppendClass {
  const name = stream.split('.', 1)[0];
  return APPEND_CLASSES.find(known => known === name) ?? 'other';
}
