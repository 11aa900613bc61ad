import assert from 'node:assert/strict';
import test from 'node:test';

import { create } from '@bufbuild/protobuf';
import { BurnResponseSchema, type BurnResponse } from '@paddlewind/protocol';

import { buildReport, windowName } from './model.js';
import { burnPage } from './page.js';
import { burnText } from './text.js';

interface Series {
  readonly zone?: string;
  readonly job?: string;
  readonly withoutBatch?: boolean;
  readonly bad: number;
}

const WINDOWS = [300, 1_800, 3_600, 21_600, 259_200];

const SERIES: readonly Series[] = [
  { bad: 40 },
  { zone: 'salem', bad: 38 },
  { zone: 'yakima', bad: 2 },
  { job: 'statements', bad: 30 },
  { job: '<b>archive</b>', bad: 3 },
  { withoutBatch: true, bad: 1 },
];

function sampleResponse(): BurnResponse {
  return create(BurnResponseSchema, {
    windows: SERIES.flatMap(series =>
      WINDOWS.map(windowSeconds => ({
        service: 'memberlink',
        availabilityZone: series.zone ?? '',
        batchNeighbours: series.job === undefined ? [] : [series.job],
        withoutBatch: series.withoutBatch ?? false,
        objective: '99.9 % within 100 ms',
        target: 0.999,
        periodDays: 28,
        windowSeconds,
        requests: 1_000n,
        bad: BigInt(series.bad),
        slow: BigInt(Math.floor(series.bad / 2)),
        burnRate: series.bad,
        budgetSpent: (series.bad * windowSeconds) / (28 * 86_400),
      })),
    ),
    evictions: 7n,
    batchCompleted: 1_200n,
    alerts: [{ service: 'memberlink', severity: 'fast' }],
    hosts: ['entry-1', 'entry-2'],
    missing: ['entry-3'],
  });
}

test('formats the lengths of windows', () => {
  const names = [90, ...WINDOWS].map(windowName);
  assert.deepEqual(names, ['90 s', '5 min', '30 min', '1 h', '6 h', '3 d']);
});

test('the burn report is grouped by service', () => {
  const service = buildReport(sampleResponse()).services.at(0);
  assert.ok(service !== undefined);
  assert.deepEqual(
    service.zones.map(zone => zone.name),
    ['salem', 'yakima'],
  );
  assert.equal(service.neighbours[0]?.name, '(no batch work)');
  assert.equal(service.all.cells[0]?.failed, 20);
});

test('the text report lists alerts, burn rates and missing hosts', () => {
  const text = burnText(buildReport(sampleResponse()));
  assert.match(text, /^alert: memberlink burns its budget \(fast\)/);
  assert.match(text, /memberlink +salem( +38\.00){5} +1000 +19 +19 +407\.1 %/);
  assert.match(text, /missing: entry-3/);
});

test('the HTML page is complete, self-contained and escapes names', () => {
  const page = burnPage(buildReport(sampleResponse()), '2026-01-01');
  assert.equal(page.match(/<svg/g)?.length, 2);
  assert.ok(!page.includes('<b>archive'));
  assert.ok(!/<script|<link|src=|@import/.test(page));
  assert.match(page, /<\/html>\n$/);
});

test('renders a page for a report without services', () => {
  const page = burnPage(buildReport(create(BurnResponseSchema, {})), 'now');
  assert.match(page, /No service has had a request/);
});
