import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Registry } from 'prom-client';

import { createJobMeters, type JobMeters } from './meters.js';

/** Returns the samples after `use`, as lines of the text format. */
async function samplesAfter(
  use: (meters: JobMeters) => void,
): Promise<string[]> {
  const registry = new Registry();
  use(createJobMeters(registry));
  return (await registry.metrics()).split('\n');
}

function assertHas(
  lines: readonly string[],
  expected: readonly string[],
): void {
  assert.deepEqual(
    expected.filter(line => !lines.includes(line)),
    [],
  );
}

test('a sent start records its wait and the age of the inbox', async () => {
  const lines = await samplesAfter(({ startSent }) => {
    startSent(40, 2_600);
    startSent(4_000, 90);
  });
  assertHas(lines, [
    'paddlewind_jobs_start_wait_seconds_bucket{le="0.05"} 1',
    'paddlewind_jobs_start_wait_seconds_bucket{le="2.5"} 1',
    'paddlewind_jobs_start_wait_seconds_bucket{le="4"} 2',
    'paddlewind_jobs_start_wait_seconds_sum 4.04',
    'paddlewind_jobs_start_inbox_age_seconds_bucket{le="0.1"} 1',
    'paddlewind_jobs_start_inbox_age_seconds_bucket{le="2.5"} 1',
    'paddlewind_jobs_start_inbox_age_seconds_bucket{le="4"} 2',
    'paddlewind_jobs_start_inbox_age_seconds_count 2',
  ]);
});

test('dropped starts are counted by reason', async () => {
  const lines = await samplesAfter(({ startGivenUp }) => {
    startGivenUp('stale');
    startGivenUp('worker');
    startGivenUp('stale');
  });
  assertHas(lines, [
    'paddlewind_jobs_starts_given_up_total{reason="stale"} 2',
    'paddlewind_jobs_starts_given_up_total{reason="worker"} 1',
  ]);
});

test('refusals are counted by kind of request and reason', async () => {
  const lines = await samplesAfter(({ refused }) => {
    refused('queue_length', 'stale');
    refused('status', 'log_away');
    refused('status', 'log_away');
  });
  assertHas(lines, [
    'paddlewind_jobs_refused_total{what="queue_length",why="stale"} 1',
    'paddlewind_jobs_refused_total{what="status",why="log_away"} 2',
  ]);
});

test('delays of the event loop are recorded in seconds', async () => {
  const lines = await samplesAfter(({ loopDelayed }) => {
    loopDelayed(1);
    loopDelayed(750);
  });
  assertHas(lines, [
    'paddlewind_jobs_loop_delay_seconds_bucket{le="0.002"} 1',
    'paddlewind_jobs_loop_delay_seconds_bucket{le="0.5"} 1',
    'paddlewind_jobs_loop_delay_seconds_bucket{le="1"} 2',
    'paddlewind_jobs_loop_delay_seconds_sum 0.751',
  ]);
});

test('workers are counted by version, and versions without workers disappear', async () => {
  const use = ({ workerVersions }: JobMeters): void => {
    workerVersions([{ service: 'main', workers: { '1': 5 } }]);
    workerVersions([{ service: 'main', workers: { '2': 3 } }]);
  };
  const lines = await samplesAfter(use);
  const samples = lines.filter(line =>
    line.startsWith('paddlewind_jobs_workers{'),
  );
  assert.deepEqual(samples, [
    'paddlewind_jobs_workers{service="main",version="2"} 3',
  ]);
});

test('run times are compared with the expected ones by model', async () => {
  const lines = await samplesAfter(({ runTimeMeasured }) => {
    runTimeMeasured('averages', 7);
    runTimeMeasured('distributions', 1.1);
    runTimeMeasured('distributions', 0.3);
  });
  const name = 'paddlewind_jobs_run_time_ratio_bucket';
  assertHas(lines, [
    `${name}{le="4",model="averages"} 0`,
    `${name}{le="8",model="averages"} 1`,
    `${name}{le="0.5",model="distributions"} 1`,
    `${name}{le="1.25",model="distributions"} 2`,
  ]);
});

test('refused jobs are counted by a power of two of their size, and the forecast is shown', async () => {
  const row = { kind: 'filler', service: 's', errorPercent: 1, hosts: 2 };
  const lines = await samplesAfter(({ jobRefused, capacityForecast }) => {
    jobRefused('q', 100_000, 'no_room');
    jobRefused('q', 128_000, 'no_room');
    jobRefused('q', 10, 'log');
    capacityForecast([
      { ...row, kind: 'filler', priority: 2, backlog: 9_000, rate: 1_500 },
    ]);
  });
  const labels = '{service="s",kind="filler",priority="2"}';
  assertHas(lines, [
    'paddlewind_jobs_submissions_refused_total{queue="q",size="128",why="no_room"} 2',
    'paddlewind_jobs_submissions_refused_total{queue="q",size="1",why="log"} 1',
    `paddlewind_jobs_forecast_backlog_core_seconds${labels} 9`,
    `paddlewind_jobs_forecast_rate_cores${labels} 1.5`,
  ]);
});
