/** Guards against a leader that plans by the wrong model of run times for its settings and configuration. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { MoveCosts } from '@paddlewind/domain/jobs';

import { Simulation } from './simulation.fixture.test.js';

const TASKS = 5;

/** Returns the number of runs of a step, all of whose tasks take seven times as long as its caller expects. */
async function countRuns(moveCosts?: MoveCosts): Promise<number> {
  const site = new Simulation(1, moveCosts && { moveCosts });
  site.configure();
  ['w1', 'w2', 'w3'].forEach(machine => {
    site.addWorker(machine);
  });
  ['h1', 'h2', 'h3'].forEach(name => site.startHost(name));
  await site.time.advance(2_500);
  const step = { tasks: TASKS, after: [], speculative: true, estimateMs: 400 };
  const script = { runMs: 2_800, failures: 0 };
  void site.submit('0000000000000001', [step], script);
  await site.time.advance(6_000);
  assert.ok(site.history.isDone('0000000000000001'));
  return site.log
    .recordsOf('journal')
    .filter(bytes => new TextDecoder().decode(bytes).startsWith('["s"')).length;
}

test('by averages the tasks of a slow step get copies', async () => {
  assert.ok((await countRuns()) > TASKS);
});

test('where runs can be moved, they get none, since the copies would be as slow', async () => {
  assert.equal(await countRuns({ stopMs: 200, restoreMs: 100 }), TASKS);
});

test('where stops take longer than callers wait, the averages decide', async () => {
  const costs = { stopMs: 2_000, restoreMs: 100 };
  assert.ok((await countRuns(costs)) > TASKS);
});
