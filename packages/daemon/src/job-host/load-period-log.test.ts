import assert from 'node:assert/strict';
import { test } from 'node:test';

import { pino } from 'pino';
import { Registry } from 'prom-client';

import { LoadPeriodLog } from './load-period-log.js';
import { createJobMeters } from './meters.js';

type Line = Readonly<Record<string, unknown>>;

/** A log of periods, the lines that it has written and its metrics. */
function createLog(): {
  periods: LoadPeriodLog;
  lines: Line[];
  registry: Registry;
} {
  const lines: Line[] = [];
  const registry = new Registry();
  const write = (line: string): void => {
    const { msg, periodMs, beforeMs } = JSON.parse(line) as Line;
    lines.push({ msg, periodMs, beforeMs });
  };
  const ctx = {
    log: pino({}, { write }),
    meters: createJobMeters(registry),
  };
  return { periods: new LoadPeriodLog(ctx), lines, registry };
}

const FOUND = 'leader: loads have a period';
const DROPPED = 'leader: loads have no period any more';

// A line for each fit, every 2 s, would hide the changes that matter.
test('a period is logged when it is found, changes by over a tenth or is dropped', () => {
  const { periods, lines } = createLog();
  periods.update(undefined);
  for (const periodMs of [10_000, 10_100, 10_900, 11_200]) {
    periods.update({ periodMs, explained: 0.95 });
  }
  periods.update(undefined);
  periods.update(undefined);
  assert.deepEqual(lines, [
    { msg: FOUND, periodMs: 10_000, beforeMs: undefined },
    { msg: FOUND, periodMs: 11_200, beforeMs: 10_000 },
    { msg: DROPPED, periodMs: undefined, beforeMs: 11_200 },
  ]);
});

test('the metrics tell the period in force and what it explains', async () => {
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
