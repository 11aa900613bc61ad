import assert from 'node:assert/strict';
import test from 'node:test';

import { policySchema, selectorSchema } from './schemas.js';
import { DEFAULT_POLICY, matches, policyFor } from './selector.js';

test('empty selector matches everything', () => {
  assert.equal(matches(selectorSchema.parse({}), { tier: 'web' }), true);
});

test('a selector label matches only the same value', () => {
  const selector = selectorSchema.parse({ labels: { tier: 'web' } });
  assert.equal(matches(selector, { tier: 'web', az: 'salem' }), true);
  assert.equal(matches(selector, { tier: 'batch' }), false);
  assert.equal(matches(selector, {}), false);
});

test('conditions match by their operators', () => {
  const condition = (operator: string, values: string[] = []) =>
    selectorSchema.parse({ conditions: [{ label: 'az', operator, values }] });
  assert.equal(matches(condition('in', ['salem']), { az: 'salem' }), true);
  assert.equal(matches(condition('in', ['salem']), {}), false);
  assert.equal(matches(condition('not_in', ['salem']), { az: 'salem' }), false);
  assert.equal(matches(condition('not_in', ['salem']), {}), true);
  assert.equal(matches(condition('exists'), { az: '' }), true);
  assert.equal(matches(condition('absent'), { az: '' }), false);
});

test('the matching policy with the lowest order applies', () => {
  const policy = (name: string, order: number, priority: string) =>
    policySchema.parse({
      kind: 'policy',
      name,
      order,
      work: { labels: { app: 'statements' } },
      class: 'batch',
      priority,
    });
  const policies = [policy('late', 9, 'low'), policy('early', 1, 'urgent')];
  assert.equal(policyFor(policies, { app: 'statements' }).priority, 'urgent');
  assert.deepEqual(policyFor(policies, { app: 'other' }), DEFAULT_POLICY);
});
