/*
 * Guards against running a finished task again after its run was abandoned. On a day on which leaders were
 * replaced and late, and 1,644 runs ended as `lapsed`, a task that had ended as done ran a second time 20 s
 * later. A leader that gets no answer from a worker abandons its runs once its lease has expired; one of them
 * had been done before that. When the worker answered again and listed that end, the leader ignored and
 * acknowledged it, since it had closed the run, while the task waited for capacity to run again. The log did
 * not mention such ends.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';
import { decodeJournal } from '@paddlewind/domain/jobs';

import { Simulation } from './simulation.fixture.test.js';

const JOB = '00000000000000f1';
const HOSTS = ['h1', 'h2', 'h3'];
/** Longer than it takes to cut the worker off, and shorter than its lease. */
const RUN_MS: Millis = 2_000;
/** Time within which the lease ends and the run is abandoned. */
const UNREACHABLE_MS: Millis = 9_000;

function disconnect(site: Simulation, worker: string): void {
  HOSTS.forEach(name => site.fleet.brokenLinks.add(`${name}>${worker}`));
}

/** Returns a simulated deployment whose only worker has done a task that the leader has abandoned. */
async function deploymentWithStrayEnd(
  seed: number,
  step: { gang?: boolean; tasks: number },
): Promise<Simulation> {
  const site = new Simulation(seed);
  site.addWorker('w1');
  HOSTS.forEach(name => site.startHost(name));
  const gang = step.gang === true ? { gang: step.tasks } : {};
  const script = { runMs: RUN_MS, failures: 0, ...gang };
  void site.submit(JOB, [{ ...step, after: [] }], script);
  await site.time.until(
    () => site.history.countActiveRuns(JOB) === step.tasks,
    6_000,
  );
  await site.time.advance(300);
  disconnect(site, 'w1');
  await site.time.advance(UNREACHABLE_MS);
  const ends = site.log.recordsOf('journal').map(decodeJournal);
  assert.ok(ends.some(record => record?.kind === 'lost'));
  return site;
}

for (const step of [{ tasks: 1 }, { tasks: 3 }, { tasks: 3, gang: true }]) {
  const name = `${step.tasks}${step.gang === true ? ' of a gang' : ''}`;
  test(`tasks are not run again once they are known to be done: ${name}`, async () => {
    for (const seed of [1, 2, 3]) {
      const site = await deploymentWithStrayEnd(seed, step);
      site.fleet.brokenLinks.clear();
      await site.time.advance(6_000);
      assert.equal(site.recordedStarts(), step.tasks, `seed ${seed}`);
      assert.ok(site.history.isDone(JOB));
      assert.deepEqual(site.history.check(), []);
      for (const { host } of site.hosts.values()) {
        const asked = host.service.status(JOB);
        await site.time.advance(100);
        assert.deepEqual(await asked, { kind: 'known', status: 'completed' });
      }
    }
  });
}

test('a second run is stopped once the first one is known to be done', async () => {
  const site = await deploymentWithStrayEnd(4, { tasks: 1 });
  site.addWorker('w2');
  await site.time.until(() => site.history.countActiveRuns(JOB) === 1, 3_000);
  site.fleet.brokenLinks.clear();
  await site.time.advance(1_500);
  assert.equal(site.history.countActiveRuns(JOB), 0);
  const asked = site.hosts.get('h1')?.host.service.status(JOB);
  await site.time.advance(100);
  assert.deepEqual(await asked, { kind: 'known', status: 'completed' });
});
