import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Registry } from 'prom-client';

import { createFailureMeters } from './failure-meters.js';

test('failed jobs are counted by reason', async () => {
  const registry = new Registry();
  const { jobFailed } = createFailureMeters(registry);
  jobFailed('workers_lost');
  jobFailed('attempts_spent');
  jobFailed('workers_lost');
  const text = await registry.metrics();
  assert.match(text, /paddlewind_jobs_failed_total\{reason="workers_lost"\} 2/);
  assert.match(
    text,
    /paddlewind_jobs_failed_total\{reason="attempts_spent"\} 1/,
  );
});
