import assert from 'node:assert/strict';
import test from 'node:test';

import {
  applyConfigRecord,
  applyLeaseRecord,
  CONFIG_CHANGE_KIND,
  CONFIG_RULES_VERSION,
  createLeaseState,
  EMPTY_CONFIG,
  leaseEnvelope,
  decodeLeaseRecord,
  type ConfigState,
  type StreamRecord,
} from '@paddlewind/domain';

import { configCheck } from '../checks/config.js';
import { epochsCheck } from '../checks/epochs.js';
import type { HistoryEvent } from '../history.js';

function weights(id: string, baseVersion: number): StreamRecord {
  const declaration = {
    kind: 'weights',
    name: 'default',
    tailLatency: 1,
    batchThroughput: 1,
    evictions: 1,
  };
  const change = { kind: 'weights', name: 'default', baseVersion, declaration };
  const body = { rules: CONFIG_RULES_VERSION, changes: [change] };
  return { id, kind: CONFIG_CHANGE_KIND, body };
}

type Judge = typeof applyConfigRecord;

/** Two operators race from one version. */
function race(judgeRecord: Judge): HistoryEvent[] {
  let state: ConfigState = EMPTY_CONFIG;
  const events: HistoryEvent[] = [];
  [weights('first', 0), weights('second', 0)].forEach((record, at) => {
    const offset = at + 1;
    const outcome = judgeRecord(state, record, offset);
    state = outcome.state;
    if (outcome.verdict.kind === 'accepted') {
      const what = { object: 'weights/default', base: 0, offset };
      events.push({ type: 'config_accepted', at, ...what });
    }
  });
  return events;
}

test('one of two racing changes wins', () => {
  const history = race(applyConfigRecord);
  assert.deepEqual(configCheck.check(history), { checked: 1, violations: [] });
});

test('a copy of the fold that overlooks the base is caught', () => {
  const faulty: Judge = (state, record, next) => {
    const current = state.objects.get('weights/default')?.version ?? 0;
    return applyConfigRecord(state, weights(record.id, current), next);
  };
  assert.equal(configCheck.check(race(faulty)).violations.length, 1);
});

/** Looks at a host that folds three changes; `stateAt` tells what it has in force after each. */
function looks(
  stateAt: (states: readonly ConfigState[], i: number) => ConfigState,
): HistoryEvent[] {
  const states: ConfigState[] = [EMPTY_CONFIG];
  return [0, 1, 2].map((base): HistoryEvent => {
    const record = weights(`change-${base}`, base);
    const before = states.at(-1) ?? EMPTY_CONFIG;
    const { state } = applyConfigRecord(before, record, base + 1);
    states.push({ ...state, offset: base + 1 });
    const { offset } = stateAt(states, base + 1);
    const what = { entry: 'e1', offset, ready: true };
    return { type: 'config_seen', at: base, ...what };
  });
}

test('a host that goes back to an older configuration is caught', () => {
  const latest = looks((states, i) => states[i] ?? EMPTY_CONFIG);
  assert.deepEqual(configCheck.check(latest).violations, []);
  const older = looks((states, i) => states[i === 3 ? 1 : i] ?? EMPTY_CONFIG);
  assert.equal(configCheck.check(older).violations.length, 1);
});

/** Two members claim a free shard; with `shared` both are judged by the one log. */
function claimRace(shared: boolean): HistoryEvent[] {
  let state = createLeaseState();
  return ['e1', 'e2'].flatMap((owner, at): HistoryEvent[] => {
    state = shared ? state : createLeaseState();
    const shape = { shard: 's', epoch: 1, owner, incarnation: 'i' };
    const claim = { kind: 'claim', ...shape, leaseMs: 1, seen: 0 } as const;
    const record = decodeLeaseRecord(leaseEnvelope(owner, claim));
    assert.ok(record.isOk);
    const position = { offset: at, index: 0 };
    const verdict = applyLeaseRecord(state, record.value, position, at);
    return verdict.kind === 'claimed'
      ? [{ type: 'shard_claimed', at, shard: 's', epoch: 1, owner }]
      : [];
  });
}

test('one of two claims wins by log order', () => {
  const history = claimRace(true);
  assert.deepEqual(epochsCheck.check(history), { checked: 1, violations: [] });
});

test('a copy that judges claims without the log is caught', () => {
  assert.equal(epochsCheck.check(claimRace(false)).violations.length, 1);
});
