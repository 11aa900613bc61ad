import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Registry } from 'prom-client';

import { captureLog, type LogLine } from './captured-log.fixture.test.js';
import { LoadPeriodLog } from './load-period-log.js';
import { createJobMeters } from './meters.js';

/** Returns a log of periods, the lines that it writes and its metrics. */
function createLog(): {
  readonly periods: LoadPeriodLog;
  readonly lines: readonly LogLine[];
  readonly registry: Registry;
} {
  const { log, lines } = captureLog();
  const registry = new Registry();
  const ctx = { log, meters: createJobMeters(registry) };
  return { periods: new LoadPeriodLog(ctx), lines, registry };
}

const FOUND = 'leader: loads have a period';
const DROPPED = 'leader: loads have no period any more';

// Guards against a line for each fit, every 2 s, which would hide the changes that matter.
test('a period is logged when it is found, changes by over a tenth or is dropped', () => {
  const { periods, lines } = createLog();
  periods.update(undefined);
  for (const periodMs of [10_000, 10_100, 10_900, 11_200]) {
    periods.update({ periodMs, explained: 0.95 });
  }
  periods.update(undefined);
  periods.update(undefined);
  const found = lines.map(({ msg, periodMs, beforeMs }) => ({
    msg,
    periodMs,
    beforeMs,
  }));
  assert.deepEqual(found, [
    { msg: FOUND, periodMs: 10_000, beforeMs: undefined },
    { msg: FOUND, periodMs: 11_200, beforeMs: 10_000 },
    { msg: DROPPED, periodMs: undefined, beforeMs: 11_200 },
  ]);
});

test('the metrics show the period in force and the variance that it explains', async () => {
  const { periods, registry } = createLog();
  const read = async (): Promise<string[]> =>
    (await registry.metrics())
      .split('\n')
      .filter(line => line.startsWith('paddlewind_jobs_load_period'));
  periods.update({ periodMs: 10_000, explained: 0.95 });
  assert.deepEqual(await read(), [
    'paddlewind_jobs_load_period_seconds 10',
    'paddlewind_jobs_load_period_explained_ratio 0.95',
  ]);
  periods.update(undefined);
  assert.deepEqual(await read(), [
    'paddlewind_jobs_load_period_seconds 0',
    'paddlewind_jobs_load_period_explained_ratio 0',
  ]);
});
