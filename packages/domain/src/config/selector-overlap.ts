/** Checks whether two selectors can match the same work. */
import type { Selector } from '../declarations/schemas.js';

/** Requirements of a selector for one label. */
interface Requirement {
  /** Allowed values; undefined if all are allowed. */
  readonly allowed: ReadonlySet<string> | undefined;
  readonly denied: ReadonlySet<string>;
  readonly isPresent: boolean;
  readonly isAbsent: boolean;
}

/** Tells whether no labels can match both selectors; may return false for selectors that are disjoint. */
export function areDisjoint(a: Selector, b: Selector): boolean {
  return labelsOf(a).some(
    label =>
      labelsOf(b).includes(label) &&
      areExclusive(requirementOf(a, label), requirementOf(b, label)),
  );
}

function labelsOf(selector: Selector): string[] {
  return [
    ...Object.keys(selector.labels),
    ...selector.conditions.map(condition => condition.label),
  ];
}

function requirementOf(selector: Selector, label: string): Requirement {
  const equal = selector.labels[label];
  const conditions = selector.conditions.filter(each => each.label === label);
  const sets = conditions
    .filter(condition => condition.operator === 'in')
    .map(condition => condition.values);
  if (equal !== undefined) {
    sets.push([equal]);
  }
  const denied = conditions
    .filter(condition => condition.operator === 'not_in')
    .flatMap(condition => condition.values);
  const mustExist = conditions.some(each => each.operator === 'exists');
  return {
    allowed: sets.length === 0 ? undefined : intersection(sets),
    denied: new Set(denied),
    isPresent: sets.length > 0 || mustExist,
    isAbsent: conditions.some(condition => condition.operator === 'absent'),
  };
}

function intersection(sets: readonly (readonly string[])[]): Set<string> {
  const [first = [], ...rest] = sets;
  return new Set(first.filter(value => rest.every(set => set.includes(value))));
}

function areExclusive(a: Requirement, b: Requirement): boolean {
  if ((a.isAbsent && b.isPresent) || (a.isPresent && b.isAbsent)) {
    return true;
  }
  const allowed = a.allowed ?? b.allowed;
  if (allowed === undefined) {
    return false;
  }
  const isCommon = (value: string): boolean =>
    allows(a, value) && allows(b, value);
  return ![...allowed].some(isCommon);
}

function allows(requirement: Requirement, value: string): boolean {
  const { allowed, denied } = requirement;
  return (allowed === undefined || allowed.has(value)) && !denied.has(value);
}
