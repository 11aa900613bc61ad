/**
 * Guards against a new leader that does not start from the recorded run times, or learns wrong ones from runs that
 * it has not started.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  decodeJournal,
  type LearnedDistributions,
} from '@paddlewind/domain/jobs';

import { Simulation } from './simulation.fixture.test.js';

const RUN_MS = 400;

/** Submits `count` jobs of four tasks, whose callers expect 1 s, from number `first` on. */
function submitJobs(site: Simulation, first: number, count: number): void {
  for (let number = first; number < first + count; number += 1) {
    const id = number.toString(16).padStart(16, '0');
    const script = { runMs: RUN_MS, failures: 0 };
    void site.submit(id, [{ tasks: 4, after: [] }], script);
  }
}

/** Returns the distributions that were recorded last. */
function lastRecorded(site: Simulation): LearnedDistributions {
  const records = site.log.recordsOf('journal').map(decodeJournal);
  const learned = records.flatMap(record =>
    record?.kind === 'learnt' ? [record.learnt.distributions] : [],
  );
  const last = learned.at(-1);
  assert.ok(last);
  return last;
}

test('when the leader is lost halfway the next one starts from the recorded distributions', async () => {
  const site = new Simulation(1, {
    moveCosts: { stopMs: 200, restoreMs: 100 },
  });
  site.configure();
  ['w1', 'w2', 'w3'].forEach(machine => {
    site.addWorker(machine);
  });
  ['h1', 'h2', 'h3'].forEach(name => site.startHost(name));
  await site.time.advance(2_500);
  submitJobs(site, 1, 12);
  await site.time.advance(8_000);
  const before = lastRecorded(site);
  assert.equal(before.queues[0]?.[1], 12);
  const first = site.leader();
  submitJobs(site, 100, 6);
  await site.time.advance(700);
  site.kill(first);
  await site.time.advance(12_000);
  assert.notEqual(site.leader(), first);
  submitJobs(site, 200, 6);
  await site.time.advance(8_000);
  const after = lastRecorded(site);
  assert.ok((after.queues[0]?.[1] ?? 0) >= 18);
  const [, mean = 0] = after.means[0] ?? [];
  // Ends are known some 10 ms late. Times counted from when the new leader first saw a run would be shorter.
  assert.ok(Math.exp(mean) > RUN_MS && Math.exp(mean) < 1.2 * RUN_MS);
});
