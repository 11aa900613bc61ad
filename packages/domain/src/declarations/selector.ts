/** Matches labels against selectors. */
import type { PolicySpec, Selector } from './schemas.js';

type Labels = Readonly<Record<string, string>>;

/** Tells whether all labels and conditions of `selector` match `labels`. */
export function matches(selector: Selector, labels: Labels): boolean {
  for (const [label, value] of Object.entries(selector.labels)) {
    if (labels[label] !== value) {
      return false;
    }
  }
  return selector.conditions.every(condition =>
    conditionHolds(condition, labels),
  );
}

function conditionHolds(
  condition: Selector['conditions'][number],
  labels: Labels,
): boolean {
  const value = labels[condition.label];
  switch (condition.operator) {
    case 'in':
      return value !== undefined && condition.values.includes(value);
    case 'not_in':
      return value === undefined || !condition.values.includes(value);
    case 'exists':
      return value !== undefined;
    case 'absent':
      return value === undefined;
  }
}

/** Policy for work that no declared policy matches. */
export const DEFAULT_POLICY: Pick<
  PolicySpec,
  'class' | 'priority' | 'preemptible' | 'evictionsPerHour'
> = {
  class: 'batch',
  priority: 'normal',
  preemptible: false,
  evictionsPerHour: 2,
};

/** Returns the first policy, by order and then name, that matches `labels`, or the default. */
export function policyFor(
  policies: readonly PolicySpec[],
  labels: Labels,
): typeof DEFAULT_POLICY {
  const ordered = [...policies].sort(
    (a, b) => a.order - b.order || (a.name < b.name ? -1 : 1),
  );
  return ordered.find(policy => matches(policy.work, labels)) ?? DEFAULT_POLICY;
}
