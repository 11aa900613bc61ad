import assert from 'node:assert/strict';
import test from 'node:test';

import fc from 'fast-check';

import { objectSchema, type ConfigObject } from '../declarations/schemas.js';
import type { StreamRecord } from '../streams/record.js';
import { changeSetRecord, type ConfigChange } from './change-set.js';
import { diffObjects } from './diff.js';
import { EMPTY_CONFIG, applyConfigRecord } from './fold.js';
import { createConfigLedger, type ConfigLedger } from './ledger.js';
import { objectKey, type ConfigState } from './state.js';
import { validateObjects } from './validate.js';

const SIZE = { cpu: 1, memoryMiB: 512, accelerators: 0 };

function team(name: string, weight = 1): ConfigObject {
  return objectSchema.parse({ kind: 'team', name, quota: SIZE, weight });
}

function service(name: string, extra: object = {}): ConfigObject {
  return objectSchema.parse({
    kind: 'service',
    name,
    team: 'core',
    workers: {},
    size: SIZE,
    slots: 8,
    connections: 64,
    route: {},
    objective: { target: 0.999, latencyMs: 100 },
    ...extra,
  });
}

function shard(name: string, zone: string, racks: string[]): ConfigObject {
  return objectSchema.parse({
    kind: 'shard',
    name,
    region: 'r',
    availabilityZone: zone,
    racks,
  });
}

function policy(name: string, order: number, tier?: string): ConfigObject {
  const work = tier === undefined ? {} : { labels: { tier } };
  return objectSchema.parse({
    kind: 'policy',
    name,
    order,
    work,
    class: 'batch',
  });
}

function put(object: ConfigObject, baseVersion = 0): ConfigChange {
  const { kind, name } = object;
  return { kind, name, baseVersion, declaration: object };
}

function set(id: string, ...changes: ConfigChange[]): StreamRecord {
  return changeSetRecord({ id, changes });
}

function kindsOf(ledger: ConfigLedger, entries: StreamRecord[][]): string[] {
  return entries.flatMap(records => {
    const verdicts = ledger.fold(records, ledger.state().offset + 1);
    return verdicts.map(all => all.map(each => each.kind)).unwrapOr(['failed']);
  });
}

function errorOf(state: ConfigState, record: StreamRecord): string {
  const { verdict } = applyConfigRecord(state, record, state.offset);
  return 'error' in verdict
    ? `${verdict.kind} at ${verdict.error.path ?? ''}`
    : verdict.kind;
}

test('the first of two changes with the same base version wins', () => {
  const ledger = createConfigLedger();
  const kinds = kindsOf(ledger, [
    [set('a', put(team('core')))],
    [set('b', put(team('core', 2), 0)), set('c', put(team('core', 3), 0))],
  ]);
  assert.deepEqual(kinds, ['accepted', 'conflict', 'conflict']);
  const next = kindsOf(ledger, [
    [set('d', put(team('core', 4), 0))],
    [set('e', put(team('ops'))), set('f', put(team('ops', 2)))],
  ]);
  assert.deepEqual(next, ['conflict', 'accepted', 'conflict']);
  assert.equal(ledger.state().objects.get('team/core')?.version, 1);
});

test('an invalid change rejects the whole change set', () => {
  const { state } = applyConfigRecord(
    EMPTY_CONFIG,
    set('a', put(team('core')), put(service('web', { team: 'none' }))),
    0,
  );
  assert.equal(state.objects.size, 0);
});

test('verdicts contain the path of the problem', () => {
  const based = applyConfigRecord(
    EMPTY_CONFIG,
    set(
      'a',
      put(team('core')),
      put(service('web')),
      put(shard('s', 'z', ['r1'])),
      put(policy('p', 1, 'x')),
    ),
    4,
  ).state;
  const deletion = {
    kind: 'team',
    name: 'core',
    baseVersion: 4,
    declaration: null,
  } as const;
  const broken = { ...team('x'), weight: -1 } as ConfigObject;
  const misnamed = { ...put(team('x')), name: 'y' };
  assert.equal(
    errorOf(based, set('b', put(team('core', 2), 3))),
    'conflict at changes[0]',
  );
  assert.equal(
    errorOf(based, set('b', deletion)),
    'invalid at service/web.team',
  );
  assert.equal(
    errorOf(based, set('b', put(broken))),
    'invalid at changes[0].declaration.weight',
  );
  assert.equal(
    errorOf(based, set('b', misnamed)),
    'invalid at changes[0].declaration',
  );
  assert.equal(
    errorOf(based, set('b', put(shard('t', 'z', ['r1'])))),
    'invalid at shard/t.racks',
  );
  assert.equal(
    errorOf(based, set('b', put(shard('t', 'y', ['r1'])))),
    'accepted',
  );
  assert.equal(
    errorOf(based, set('b', put(policy('q', 1)))),
    'invalid at policy/q.order',
  );
  assert.equal(errorOf(based, set('b', put(policy('q', 1, 'y')))), 'accepted');
  assert.equal(
    errorOf(based, set('b', put(service('api', { route: { host: 'web' } })))),
    'invalid at service/web.route',
  );
  assert.equal(
    errorOf(based, { id: 'b', kind: 'config.change', body: {} }),
    'invalid at rules',
  );
});

test('verdicts do not depend on the order in which objects were created', () => {
  const live = createConfigLedger();
  const first = set('a', put(team('core')), put(service('web')));
  const deletion = { ...put(team('core'), 1), declaration: null };
  live.fold([first, set('b', put(service('api')))], 1);
  const restored = createConfigLedger();
  restored.restore(live.capture(), 1);
  for (const ledger of [live, restored]) {
    ledger.fold([set('c', deletion)], 2);
  }
  const verdict = live.verdictOf('c');
  assert.equal(verdict?.kind, 'invalid');
  assert.deepEqual(restored.verdictOf('c'), verdict);
});

test('a record that needs newer rules stops the fold and changes nothing', () => {
  const ledger = createConfigLedger();
  const newer = { id: 'n', kind: 'config.change', body: { rules: 99, any: 1 } };
  const folded = ledger.fold([set('a', put(team('core'))), newer], 1);
  assert.equal(folded.isErr && folded.error.kind, 'unsupported_record');
  assert.equal(ledger.state().offset, 0);
});

test('a restored ledger continues with the same state and verdicts', () => {
  const ledger = createConfigLedger();
  kindsOf(ledger, [
    [set('a', put(team('core')))],
    [set('b', put(team('core')))],
  ]);
  const copy = createConfigLedger();
  assert.equal(copy.restore(ledger.capture(), 2).isOk, true);
  assert.equal(copy.verdictOf('b')?.kind, 'conflict');
  assert.equal(copy.capture(), ledger.capture());
  assert.equal(copy.restore('{}', 2).isErr, true);
  const newer = ledger.capture().replace('"rules":1', '"rules":2');
  const refused = copy.restore(newer, 2);
  assert.equal(refused.isErr && refused.error.kind, 'unsupported_record');
});

test('validation of declarations reports all problems with their paths', () => {
  const { problems } = validateObjects(
    [team('core'), team('core'), { kind: 'team' }],
    ['a.json', 'b.json', 'c.json'],
  );
  const paths = problems.map(problem => problem.path);
  assert.deepEqual(paths, ['c.json.name', 'c.json.quota', 'team/core']);
  assert.equal(
    validateObjects([service('web')]).problems[0]?.path,
    'service/web.team',
  );
  assert.deepEqual(
    validateObjects([team('core'), service('web')]).problems,
    [],
  );
});

test('differences contain the changed fields and the base version', () => {
  const { state } = applyConfigRecord(
    EMPTY_CONFIG,
    set('a', put(team('core')), put(team('ops'))),
    7,
  );
  const differences = diffObjects(
    state,
    [team('core', 2), team('new')],
    'delete',
  );
  assert.deepEqual(
    differences.map(({ action, key, change }) => [
      action,
      key,
      change.baseVersion,
    ]),
    [
      ['update', 'team/core', 7],
      ['create', 'team/new', 0],
      ['delete', 'team/ops', 7],
    ],
  );
  assert.deepEqual(differences[0]?.fields, [
    { path: 'weight', before: 1, after: 2 },
  ]);
  assert.deepEqual(diffObjects(state, [team('core')]), []);
});

/** A change to an object of any kind, with few names so that rules are often broken. */
const anyChange = fc.record({
  object: fc.oneof(
    fc.constantFrom('core', 'ops').map(name => team(name)),
    fc
      .tuple(
        fc.constantFrom('web', 'api'),
        fc.constantFrom('core', 'ops'),
        fc.constantFrom('x', 'y'),
      )
      .map(([name, owner, host]) =>
        service(name, { team: owner, route: { host } }),
      ),
    fc
      .tuple(fc.constantFrom('s', 't'), fc.constantFrom('r1', 'r2'))
      .map(([name, rack]) => shard(name, 'z', [rack])),
    fc
      .tuple(
        fc.constantFrom('p', 'q'),
        fc.nat({ max: 1 }),
        fc.constantFrom('x', 'y', undefined),
      )
      .map(([name, order, tier]) => policy(name, order, tier)),
  ),
  isDeletion: fc.boolean(),
});

test('checking only the rules that a change can break gives the same verdict as checking all', () => {
  fc.assert(
    fc.property(fc.array(anyChange, { maxLength: 40 }), changes => {
      let state = EMPTY_CONFIG;
      changes.forEach(({ object, isDeletion }, index) => {
        const key = objectKey(object.kind, object.name);
        const held = state.objects.get(key);
        if (isDeletion && held === undefined) {
          return;
        }
        const base = held?.version ?? 0;
        const change = {
          ...put(object, base),
          declaration: isDeletion ? null : object,
        };
        const objects = new Map(
          [...state.objects].map(([at, each]) => [at, each.object]),
        );
        if (isDeletion) {
          objects.delete(key);
        } else {
          objects.set(key, object);
        }
        const whole = validateObjects([...objects.values()]).problems;
        const outcome = applyConfigRecord(
          state,
          set(`${index}`, change),
          index + 1,
        );
        const expected = whole.length === 0 ? 'accepted' : 'invalid';
        assert.equal(outcome.verdict.kind, expected);
        state = outcome.state;
      });
    }),
    { seed: 31, numRuns: 200 },
  );
});

/** An operator's change to a team: its new weight, or its deletion, and how many versions its base lags. */
const operation = fc.record({
  name: fc.constantFrom('a', 'b', 'c'),
  weight: fc.integer({ min: -1, max: 3 }),
  lag: fc.integer({ min: 0, max: 2 }),
  isDeletion: fc.boolean(),
});

test('the fold agrees with a simple model, also after a restore at any point', () => {
  fc.assert(
    fc.property(
      fc.array(operation, { maxLength: 30 }),
      fc.nat({ max: 30 }),
      (operations, cut) => {
        const ledger = createConfigLedger();
        const versions = new Map<string, number[]>();
        let copy: ConfigLedger | undefined;
        operations.forEach((each, index) => {
          if (index === cut) {
            copy = createConfigLedger();
            copy.restore(ledger.capture(), ledger.state().offset);
          }
          const past = versions.get(each.name) ?? [0];
          const base = past.at(-1 - each.lag) ?? 0;
          const current = past.at(-1) ?? 0;
          const declaration = each.isDeletion
            ? null
            : { ...team(each.name), weight: each.weight };
          const change = {
            kind: 'team',
            name: each.name,
            baseVersion: base,
            declaration,
          };
          const record = set(`${index}`, change as ConfigChange);
          const verdicts = ledger.fold([record], index + 1).unwrapOr([]);
          copy?.fold([record], index + 1);
          const isValid = each.isDeletion ? current !== 0 : each.weight > 0;
          const expected =
            base !== current ? 'conflict' : isValid ? 'accepted' : 'invalid';
          assert.equal(verdicts[0]?.kind, expected);
          if (expected === 'accepted') {
            past.push(each.isDeletion ? 0 : index + 1);
            versions.set(each.name, past);
          }
          const held = ledger.state().objects.get(objectKey('team', each.name));
          assert.equal(
            held?.version ?? 0,
            versions.get(each.name)?.at(-1) ?? 0,
          );
        });
        assert.equal(copy?.capture() ?? ledger.capture(), ledger.capture());
      },
    ),
    { seed: 6, numRuns: 200 },
  );
});
