/* Guards against hosts of other versions that fail on, or refuse jobs by, rows that they can't read. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { UNKNOWN_SPAN } from '../core/time.js';
import { NO_LIMITS } from './admission.js';
import { decodeJournal, encodeRecord, parseRow } from './record-rows.js';
import {
  parseCapacityRows,
  capacityColumns,
  type CapacityRow,
} from './capacity-rows.js';
import { decodeSummary, encodeSummary } from './summary.js';

const ROW: CapacityRow = {
  service: 'main',
  kind: 'plain',
  priority: 0,
  backlog: 12_000,
  rate: 900,
  errorPercent: 30,
  hosts: 29,
};
const HEARTBEAT = {
  kind: 'heartbeat',
  epoch: 64,
  host: 'h',
  nonce: 1,
  handed: undefined,
  standbys: [],
  address: 'a',
  ledForMs: 10,
  silence: UNKNOWN_SPAN,
} as const;
const LEADS = {
  kind: 'leads',
  epoch: 64,
  host: 'h',
  address: 'a',
  standbys: [],
} as const;

test('rows are rounded and bounded to 32', () => {
  const rows = Array.from({ length: 40 }, (_, priority) => ({
    ...ROW,
    priority,
    backlog: 12_000.4,
  }));
  const [column] = capacityColumns(rows);
  const read = parseCapacityRows(JSON.parse(JSON.stringify(column)));
  assert.equal(read.length, 32);
  assert.deepEqual(read[7], { ...ROW, priority: 7 });
});

test('a column that is absent or partly invalid means no rows', () => {
  const [[valid] = []] = capacityColumns([ROW]);
  assert.ok(valid !== undefined);
  assert.equal(parseCapacityRows([valid]).length, 1);
  const [service, letter, ...numbers] = valid;
  const invalid: unknown[] = [
    undefined,
    null,
    'x',
    {},
    [valid, 7],
    [valid, []],
    [[service, 'q', ...numbers]],
    [[1, letter, ...numbers]],
    [[service, letter, 0, -1, 900, 30, 29]],
    [[service, letter, 0, 1, 0, 30, 29]],
    [[service, letter, 0, 1, 900, null, 29]],
    [[service, letter, 0, 1, 900, 30, 0]],
  ];
  for (const column of invalid) {
    assert.deepEqual(parseCapacityRows(column), []);
  }
});

// A leader of the earlier version writes no such column, and one without a forecast writes the same bytes.
test('records without rows are those of the earlier version', () => {
  const beat = parseRow(encodeRecord({ ...HEARTBEAT, limits: NO_LIMITS }));
  assert.equal((beat as unknown[]).length, 12);
  const leads = parseRow(encodeSummary({ ...LEADS, limits: NO_LIMITS }));
  assert.equal((leads as unknown[]).length, 7);
  const read = decodeJournal(encodeRecord(HEARTBEAT));
  assert.ok(read?.kind === 'heartbeat');
  assert.deepEqual(read.limits?.rooms, []);
  const summary = decodeSummary(encodeSummary(LEADS));
  assert.ok(summary?.kind === 'leads');
  assert.deepEqual(summary.limits?.rooms, []);
});

// A host of the earlier version reads columns by position.
test('rows are the last column of either record', () => {
  const limits = { ...NO_LIMITS, rooms: [ROW] };
  const beat = parseRow(encodeRecord({ ...HEARTBEAT, limits })) as unknown[];
  const without = parseRow(encodeRecord(HEARTBEAT)) as unknown[];
  assert.deepEqual(beat.slice(0, -1), without);
  const leads = parseRow(encodeSummary({ ...LEADS, limits })) as unknown[];
  assert.deepEqual(leads.slice(0, -1), parseRow(encodeSummary(LEADS)));
});

// A host of the earlier version reads columns by position, and finds no rows in one that is empty.
test('the offset of the inbox comes after the rows', () => {
  for (const rooms of [[], [ROW]]) {
    const limits = { ...NO_LIMITS, rooms };
    const record = { ...HEARTBEAT, limits, inboxUpTo: 7 };
    const row = parseRow(encodeRecord(record)) as unknown[];
    assert.equal(row.length, 14);
    assert.deepEqual(parseCapacityRows(row[12]), rooms);
    const read = decodeJournal(encodeRecord(record));
    assert.ok(read?.kind === 'heartbeat');
    assert.equal(read.inboxUpTo, 7);
    assert.deepEqual(read.limits?.rooms, rooms);
  }
});
