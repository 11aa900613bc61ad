/** Classes of batch work: the bounded key under which interference is learnt. */

/** Labels that name the class of a job's work, the first that is present counts. */
const CLASS_LABELS = ['class', 'app'] as const;

/** Class of jobs that carry none of the labels. */
const UNLABELLED = 'default';

/** Returns the batch class of a job: its team and its `class` or `app` label. */
export function batchClassOf(
  team: string,
  labels: Readonly<Record<string, string>>,
): string {
  const label = CLASS_LABELS.find(name => labels[name] !== undefined);
  const value = label === undefined ? undefined : labels[label];
  return `${team}/${value ?? UNLABELLED}`;
}
