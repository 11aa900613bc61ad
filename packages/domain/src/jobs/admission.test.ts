import assert from 'node:assert/strict';
import { test } from 'node:test';

import { UNKNOWN_SPAN } from '../core/time.js';
import {
  evacuatedKindsOf,
  NO_LIMITS,
  refusalOf,
  type AdmissionLimits,
} from './admission.js';
import { decodeJournal, encodeRecord } from './record-rows.js';
import { FORECAST_VALID_MS, type CapacityRow } from './capacity-rows.js';
import { decodeSummary, encodeSummary } from './summary.js';
import { applyRecord, stateOf, testJob } from './test-support.js';

const ROW: CapacityRow = {
  service: 's',
  kind: 'filler',
  priority: 2,
  backlog: 90_000,
  rate: 4_000,
  errorPercent: 20,
  hosts: 29,
};
const LIMITS: AdmissionLimits = {
  startDelays: [
    [0, 200],
    [2, 9_000],
  ],
  evacuatedKinds: [['s', 'gpu']],
  rooms: [ROW],
  roomsUntil: -Infinity,
};
const WORKERS = [
  { service: 's', labels: ['gpu', 'r1'], availabilityZone: 'a' },
  { service: 's', labels: ['cpu', 'r1'], availabilityZone: 'b' },
  { service: 'other', labels: ['cpu'], availabilityZone: 'a' },
];

test('kinds of workers that are in evacuated zones only are reported, services first', () => {
  const kinds = evacuatedKindsOf(WORKERS, zone => zone === 'a');
  assert.deepEqual(kinds, [['other'], ['s', 'gpu'], ['other', 'cpu']]);
  assert.deepEqual(
    evacuatedKindsOf(WORKERS, () => false),
    [],
  );
});

// Otherwise a caller waits for a job that can't begin before an operator takes an evacuation back.
test('a job that needs workers of an evacuated kind is refused, others are not', () => {
  const { service } = testJob('a', [{}]).terms;
  const limits = { ...NO_LIMITS, evacuatedKinds: [[service, 'gpu']] } as const;
  const refusalOfStep = (step: object): unknown =>
    refusalOf(testJob('a', [{}, step]), limits);
  assert.deepEqual(refusalOfStep({ label: 'gpu' }), { why: 'evacuated' });
  assert.equal(refusalOfStep({ label: 'cpu' }), undefined);
  assert.equal(refusalOfStep({}), undefined);
  assert.equal(refusalOfStep({ label: 'gpu', lasting: true }), undefined);
  const whole = { ...NO_LIMITS, evacuatedKinds: [[service]] } as const;
  assert.deepEqual(refusalOf(testJob('a', [{}]), whole), { why: 'evacuated' });
});

test('limits reach other hosts with the journal and with the summary', () => {
  const beat = { kind: 'heartbeat', epoch: 64, host: 'h', nonce: 1 } as const;
  const fields = { handed: undefined, standbys: ['s'], address: 'a' };
  const led = { ledForMs: 10, silence: UNKNOWN_SPAN, limits: LIMITS };
  const record = { ...beat, ...fields, ...led };
  assert.deepEqual(decodeJournal(encodeRecord(record)), record);
  const state = stateOf();
  applyRecord(state, record);
  const roomsUntil = state.now + FORECAST_VALID_MS;
  assert.deepEqual(state.admissionLimits, { ...LIMITS, roomsUntil });
  const leads = {
    kind: 'leads',
    epoch: 64,
    host: 'h',
    address: 'a',
    standbys: [],
    limits: LIMITS,
  } as const;
  assert.deepEqual(decodeSummary(encodeSummary(leads)), leads);
});
