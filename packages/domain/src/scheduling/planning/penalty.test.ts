import assert from 'node:assert/strict';
import test from 'node:test';

import {
  makeBed,
  makeJob,
  makePolicy,
  makeWorker,
  submit,
} from '../test-support.js';

function startedOn(jobClass: 'batch' | 'latency_critical'): string | undefined {
  const bed = makeBed([makeWorker('a'), makeWorker('b')]);
  bed.view = {
    ...bed.view,
    policies: [makePolicy('archive', { class: jobClass })],
    penalty: (worker, batchClass) =>
      worker === 'a' && batchClass === 'team-a/nightly' ? 5 : 0,
  };
  const labels = { work: 'archive', class: 'nightly' };
  const job = makeJob('index', { labels });
  submit(bed, job);
  const started = bed.plan().find(made => made.kind === 'task_started');
  return started?.body.worker;
}

test('batch work goes where it harms services least', () => {
  assert.equal(startedOn('batch'), 'b');
});

test('the penalty is for batch work only', () => {
  assert.equal(startedOn('latency_critical'), 'a');
});
