import assert from 'node:assert/strict';
import test from 'node:test';

import {
  createDispatcher,
  seededRandom,
  serviceSchema,
  type Dispatch,
  type Dispatcher,
} from '@paddlewind/domain';

import { judge } from '../verdict.js';
import { runDispatcher } from './dispatch-run.js';

const SERVICE = serviceSchema.parse({
  kind: 'service',
  name: 'memberlink',
  team: 'team',
  workers: {},
  size: { cpu: 1, memoryMiB: 1 },
  slots: 8,
  connections: 64,
  route: {},
  objective: { target: 0.99, latencyMs: 100 },
});

function sound(): Dispatcher {
  return createDispatcher({
    service: SERVICE,
    self: 'e1',
    availabilityZone: 'z',
    entryHosts: 3,
    random: seededRandom(2),
  });
}

function broken(dispatcher: Dispatcher): string[] {
  return judge(runDispatcher(dispatcher))
    .filter(({ finding }) => finding.violations.length > 0)
    .map(({ check }) => check.name);
}

function claimNotRun(dispatch: Dispatch): Dispatch {
  return dispatch.kind === 'refused'
    ? { ...dispatch, error: { ...dispatch.error, outcome: 'not_run' } }
    : dispatch;
}

test('the dispatcher keeps the promises on requests', () => {
  const verdicts = judge(runDispatcher(sound()));
  const tried = verdicts.filter(({ finding }) => finding.checked > 0);
  assert.deepEqual(
    tried.map(({ check }) => check.name),
    ['own_answer', 'not_run', 'at_most_once', 'leaving'],
  );
  assert.deepEqual(broken(sound()), []);
});

test('a copy that repeats every request is caught', () => {
  const copy = sound();
  const faulty: Dispatcher = {
    ...copy,
    offer: (req, now) => copy.offer({ ...req, idempotent: true }, now),
    retry: (req, result, now) =>
      copy.retry({ ...req, idempotent: true }, result, now),
  };
  assert.deepEqual(broken(faulty), ['at_most_once']);
});

test('a copy that claims every refusal as not run is caught', () => {
  const copy = sound();
  const faulty: Dispatcher = {
    ...copy,
    retry: (req, result, now) => copy.retry(req, result, now).map(claimNotRun),
  };
  assert.deepEqual(broken(faulty), ['not_run']);
});

test('a copy that overlooks leaving servers is caught', () => {
  const copy = sound();
  const faulty: Dispatcher = {
    ...copy,
    setBackends: (backends, now) =>
      copy.setBackends(
        backends.map(backend => ({ ...backend, state: 'live' as const })),
        now,
      ),
  };
  assert.deepEqual(broken(faulty), ['leaving']);
});

test('a copy that forgets failed requests is caught', () => {
  const faulty: Dispatcher = { ...sound(), retry: () => [] };
  assert.deepEqual(broken(faulty), ['own_answer']);
});
