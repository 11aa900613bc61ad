/** Priority classes of appends and their weights, used when the log is slow. */

/** Classes of appends, highest priority first. */
export const APPEND_CLASSES = [
  'leases',
  'decisions',
  'config',
  'keys',
  'other',
  'snapshots',
] as const;

/** Priority class of an append. */
export type AppendClass = (typeof APPEND_CLASSES)[number];

/** Prefix of the kinds of records that contain parts of snapshots. */
export const SNAPSHOT_KIND_PREFIX = 'snapshot';

/** Weights by which competing classes share the append budget; leases always go first. */
export const CLASS_WEIGHTS: Readonly<Record<AppendClass, number>> = {
  leases: 64,
  decisions: 16,
  config: 8,
  keys: 4,
  other: 2,
  snapshots: 1,
};

/** Returns the append class of a stream, derived from its name. */
export function classOfStream(stream: string): AppendClass {
  const name = stream.split('.', 1)[0];
  return APPEND_CLASSES.find(known => known === name) ?? 'other';
}
