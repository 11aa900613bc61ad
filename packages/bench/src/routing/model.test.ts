import assert from 'node:assert/strict';
import test from 'node:test';

import { centralPolicy } from './central-policy.js';
import { dispatcherPolicy } from './dispatcher-policy.js';
import { localPolicy, pickRandom } from './local-policies.js';
import { runModel } from './model.js';
import { createWorkload, MEMBERLINK, type Scenario } from './workload.js';

const SMALL = { ...MEMBERLINK, entryHosts: 3, servers: 9 };

const SCENARIOS: readonly Scenario[] = [
  'even',
  'skewed',
  'noise_wave',
  'failing_fast',
  'stalling',
];

for (const scenario of SCENARIOS) {
  test(`model accounts for every request: ${scenario}`, () => {
    const policies = [dispatcherPolicy(), localPolicy(pickRandom)];
    for (const policy of policies) {
      const workload = createWorkload(SMALL, scenario, 0.9, 300, 1);
      const result = runModel(workload, policy, 1, 50);
      const { offered, good, refused, failed } = result;
      assert.equal(good + refused + failed, offered);
      assert.ok(offered > 600);
      assert.ok(result.maxConnections <= SMALL.connections);
    }
  });
}

test('the central queue hardly waits at half load', () => {
  const workload = createWorkload(SMALL, 'even', 0.5, 300, 1);
  const { addedUs } = runModel(workload, centralPolicy, 1, 50);
  assert.ok(addedUs.getValueAtPercentile(99) < 2_000);
});
