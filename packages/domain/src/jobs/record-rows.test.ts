import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { UNKNOWN_SPAN } from '../core/time.js';
import { applyInbox, applyJournal } from './fold.js';
import { emptyJobsState } from './jobs-state.js';
import type { JournalRecord } from './records.js';
import { decodeInbox, decodeJournal, encodeRecord } from './record-rows.js';

const TASK = { job: '00000000000000a1', occurrence: 0, step: 0, index: 0 };

function bytesOf(row: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(row));
}

test('unknown and malformed records are not decoded', () => {
  const rows = [null, 7, {}, [], ['audit', 1], ['submit', { id: 'x' }]];
  for (const row of rows) {
    assert.equal(decodeInbox(bytesOf(row)), undefined, JSON.stringify(row));
    assert.equal(decodeJournal(bytesOf(row)), undefined, JSON.stringify(row));
  }
  assert.equal(decodeJournal(bytesOf(['restate', { spec: {} }])), undefined);
  assert.equal(decodeJournal(new Uint8Array([0xff, 0])), undefined);
});

test('records with arbitrary content are applied or skipped without an error', () => {
  const tags = [
    'submit',
    'cancel',
    'claim',
    'reached',
    'b',
    's',
    'm',
    'e',
    'x',
  ];
  const row = fc.tuple(fc.constantFrom(...tags), fc.jsonValue());
  fc.assert(
    fc.property(row, found => {
      const state = emptyJobsState();
      const request = decodeInbox(bytesOf(found));
      const decision = decodeJournal(bytesOf(found));
      if (request !== undefined) {
        applyInbox(state, request);
      }
      if (decision !== undefined) {
        applyJournal(state, decision);
      }
    }),
    { seed: 1, numRuns: 2_000 },
  );
});

// Guards against ends that are counted as attempts, or leave a task without a time at which it ended.
test('an end that this version does not know is neither done nor an attempt', () => {
  const name = '00000000000000a1.0.0.0';
  for (const how of ['exploded', '', null, 7, {}]) {
    const found = decodeJournal(bytesOf(['e', name, 1, how]));
    const ended = { task: TASK, run: 1, how: 'stopped', checkpoint: '' };
    assert.deepEqual(found, { kind: 'end', ...ended });
  }
});

function rowOf(record: JournalRecord): unknown[] {
  return JSON.parse(
    new TextDecoder().decode(encodeRecord(record)),
  ) as unknown[];
}

// A leader of an earlier version has to find the worker of a run by the id in the registry.
test('a start contains the worker id and, in a separate column, the start time of its incarnation', () => {
  for (const kind of ['start', 'moved'] as const) {
    const record = { kind, task: TASK, run: 3, worker: 'i-1@1700' };
    assert.deepEqual(rowOf(record).slice(2), [3, 'i-1', 1_700]);
    assert.deepEqual(decodeJournal(encodeRecord(record)), record);
  }
});

// Earlier versions do not record the incarnation of the worker.
test('a start without a valid incarnation is decoded with the worker id alone', () => {
  const name = '00000000000000a1.0.0.0';
  for (const rest of [[], [null], ['1700'], [-1], [0.5]]) {
    const found = decodeJournal(bytesOf(['s', name, 1, 'i-1', ...rest]));
    assert.deepEqual(found, {
      kind: 'start',
      task: TASK,
      run: 1,
      worker: 'i-1',
    });
  }
  assert.equal(decodeJournal(bytesOf(['s', name, 1, 7, 1])), undefined);
});

// A new leader called all workers itself for seconds after the one before it had others call them.
test('a heartbeat tells whether other hosts call workers for the leader', () => {
  const heartbeat: JournalRecord = {
    kind: 'heartbeat',
    epoch: 64,
    host: 'h',
    nonce: 1,
    handed: undefined,
    standbys: undefined,
    address: 'a',
    ledForMs: 5,
    silence: UNKNOWN_SPAN,
  };
  for (const usesProxies of [true, undefined]) {
    for (const inboxUpTo of [7, undefined]) {
      const state = emptyJobsState();
      const record = { ...heartbeat, usesProxies, inboxUpTo };
      const read = decodeJournal(encodeRecord(record as JournalRecord));
      assert.ok(read);
      applyJournal(state, read);
      assert.equal(state.usesProxies, usesProxies === true);
      assert.equal(state.inboxUpTo, inboxUpTo ?? 0);
    }
  }
});
