/** Batch classes: the keys by which interference is learned; their number is bounded. */

/** Labels that name the class of a job; the first one present is used. */
const CLASS_LABELS = ['class', 'app'] as const;

/** Class of jobs without any of the labels. */
const DEFAULT_CLASS = 'default';

/** Returns the batch class of a job, built from its team and its `class` or `app` label. */
export function batchClassOf(
  team: string,
  labels: Readonly<Record<string, string>>,
): string {
  const label = CLASS_LABELS.find(name => labels[name] !== undefined);
  const value = label === undefined ? undefined : labels[label];
  return `${team}/${value ?? DEFAULT_CLASS}`;
}
