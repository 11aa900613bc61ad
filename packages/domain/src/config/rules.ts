/** Rules between the objects of a configuration, such as references and uniqueness. */
import type {
  ConfigObject,
  ObjectKind,
  PolicySpec,
  ServiceSpec,
  ShardSpec,
  TeamSpec,
} from '../declarations/schemas.js';
import { MAX_CONFIG_CHARS, MAX_OBJECTS, OBJECT_KINDS } from './change-set.js';
import type { Problem } from '../core/problem.js';
import { areDisjoint } from './selector-overlap.js';

interface Grouped {
  readonly services: ServiceSpec[];
  readonly teams: TeamSpec[];
  readonly policies: PolicySpec[];
  readonly shards: ShardSpec[];
}

const ALL_KINDS: ReadonlySet<ObjectKind> = new Set(OBJECT_KINDS);

/** Checks all rules between `objects`, each of which is valid by itself, and the size of the whole. */
export function crossProblems(objects: Iterable<ConfigObject>): Problem[] {
  const all = [...objects];
  const chars = all.reduce((sum, object) => sum + jsonChars(object), 0);
  return [...sizeProblems(all.length, chars), ...ruleProblems(all, ALL_KINDS)];
}

/**
 * Checks the rules that a change to objects of the kinds `changed` may have broken.
 * The order of the problems does not depend on the order of `objects`.
 */
export function ruleProblems(
  objects: Iterable<ConfigObject>,
  changed: ReadonlySet<ObjectKind>,
): Problem[] {
  const grouped = groupByKind(objects);
  const hasTeamChange = changed.has('service') || changed.has('team');
  return [
    ...(hasTeamChange ? teamProblems(grouped) : []),
    ...(changed.has('service') ? routeProblems(grouped.services) : []),
    ...(changed.has('shard') ? shardProblems(grouped.shards) : []),
    ...(changed.has('policy') ? policyProblems(grouped.policies) : []),
  ];
}

function groupByKind(objects: Iterable<ConfigObject>): Grouped {
  const grouped: Grouped = {
    services: [],
    teams: [],
    policies: [],
    shards: [],
  };
  for (const object of objects) {
    addToGroup(grouped, object);
  }
  return grouped;
}

function addToGroup(grouped: Grouped, object: ConfigObject): void {
  switch (object.kind) {
    case 'service':
      grouped.services.push(object);
      break;
    case 'team':
      grouped.teams.push(object);
      break;
    case 'policy':
      grouped.policies.push(object);
      break;
    case 'shard':
      grouped.shards.push(object);
      break;
    case 'weights':
    case 'worker':
      break;
  }
}

/** Returns the problems of a configuration with too many objects or characters. */
export function sizeProblems(count: number, chars: number): Problem[] {
  const problems: Problem[] = [];
  if (count > MAX_OBJECTS) {
    const message = `${count} objects, at most ${MAX_OBJECTS} are kept`;
    problems.push({ path: 'objects', message });
  }
  if (chars > MAX_CONFIG_CHARS) {
    const message = `${chars} characters in all, at most ${MAX_CONFIG_CHARS} are kept`;
    problems.push({ path: 'objects', message });
  }
  return problems;
}

/** Returns the number of characters of an object as JSON. */
export function jsonChars(object: ConfigObject): number {
  return JSON.stringify(object).length;
}

function teamProblems({ services, teams }: Grouped): Problem[] {
  const names = new Set(teams.map(team => team.name));
  return byName(services)
    .filter(service => !names.has(service.team))
    .map(service => ({
      path: `service/${service.name}.team`,
      message: `team ${service.team} does not exist`,
    }));
}

function routeProblems(services: readonly ServiceSpec[]): Problem[] {
  return findDuplicates(
    services,
    ({ name, route }) => [`${route.host ?? name}${route.pathPrefix}`],
    (service, other, route) => ({
      path: `service/${service.name}.route`,
      message: `service ${other.name} is reached by ${route} as well`,
    }),
  );
}

function shardProblems(shards: readonly ShardSpec[]): Problem[] {
  return findDuplicates(
    shards,
    ({ availabilityZone, racks }) =>
      racks.map(rack => `${availabilityZone}/${rack}`),
    (shard, other, rack) => ({
      path: `shard/${shard.name}.racks`,
      message: `rack ${rack} belongs to shard ${other.name} as well`,
    }),
  );
}

/** Reports values that several objects have; the first object by name keeps the value, and the others get a problem. */
function findDuplicates<T extends { readonly name: string }>(
  objects: readonly T[],
  valuesOf: (object: T) => readonly string[],
  problem: (object: T, holder: T, value: string) => Problem,
): Problem[] {
  const holders = new Map<string, T>();
  const problems: Problem[] = [];
  for (const object of byName(objects)) {
    for (const value of valuesOf(object)) {
      const holder = holders.get(value);
      if (holder === undefined) {
        holders.set(value, object);
      } else {
        problems.push(problem(object, holder, value));
      }
    }
  }
  return problems;
}

function policyProblems(policies: readonly PolicySpec[]): Problem[] {
  const byOrder = new Map<number, PolicySpec[]>();
  const problems: Problem[] = [];
  for (const policy of byName(policies)) {
    const others = byOrder.get(policy.order) ?? [];
    const conflicting = others.find(
      other => !areDisjoint(other.work, policy.work),
    );
    if (conflicting !== undefined) {
      const message = `policy ${conflicting.name} has the same order and may match the same work`;
      problems.push({ path: `policy/${policy.name}.order`, message });
    }
    byOrder.set(policy.order, [...others, policy]);
  }
  return problems;
}

function byName<T extends { readonly name: string }>(
  objects: readonly T[],
): T[] {
  return [...objects].sort((a, b) => (a.name < b.name ? -1 : 1));
}
