import assert from 'node:assert/strict';
import { test } from 'node:test';

import { jobOf, Simulation } from './simulation.fixture.test.js';

const TWO_STEPS = [
  { tasks: 3, after: [] },
  { tasks: 2, after: [0] },
];
const SHORT_RUN = { runMs: 400, failures: 0 };

function smallDeployment(seed: number): Simulation {
  const site = new Simulation(seed);
  for (const name of ['w1', 'w2', 'w3']) {
    site.addWorker(name);
  }
  for (const name of ['h1', 'h2', 'h3']) {
    site.startHost(name);
  }
  return site;
}

function restartAll(site: Simulation): void {
  for (const name of ['h1', 'h2', 'h3']) {
    site.kill(name);
    site.startHost(name);
  }
}

test('runs the steps of a job in order and reports it as completed', async () => {
  const site = smallDeployment(1);
  void site.submit('00000000000000a1', TWO_STEPS, SHORT_RUN);
  await site.time.advance(6_000);
  assert.ok(site.history.isDone('00000000000000a1'));
  assert.deepEqual(site.history.check(), []);
  for (const { host } of site.hosts.values()) {
    const pending = host.service.status('00000000000000a1');
    await site.time.advance(100);
    assert.deepEqual(await pending, { kind: 'known', status: 'completed' });
  }
});

test('a repeated submission creates one job', async () => {
  const site = smallDeployment(2);
  void site.submit('00000000000000a2', TWO_STEPS, SHORT_RUN);
  void site.submit('00000000000000a2', TWO_STEPS, SHORT_RUN);
  await site.time.advance(6_000);
  assert.deepEqual(site.history.check(), []);
  assert.ok(site.history.isDone('00000000000000a2'));
});

test('an end is not acknowledged before it is recorded', async () => {
  const site = smallDeployment(3);
  void site.submit('00000000000000a3', [{ tasks: 4, after: [] }], {
    runMs: 3_000,
    failures: 0,
  });
  await site.time.advance(3_500);
  const first = site.leader();
  // The tasks end while the leader cannot write, and its workers keep reporting them.
  site.log.hostModes.set(first, 'refusing');
  await site.time.advance(8_000);
  assert.notEqual(site.leader(), first);
  assert.deepEqual(site.history.check(), []);
  assert.ok(site.history.isDone('00000000000000a3'));
});

test('another host leads within 2 s after the leader was killed', async () => {
  const site = smallDeployment(4);
  await site.time.advance(2_000);
  const first = site.leader();
  site.kill(first);
  await site.time.advance(2_000);
  assert.notEqual(site.leader(), first);
});

test('a leader that is stopping is replaced at once', async () => {
  const site = smallDeployment(5);
  await site.time.advance(2_000);
  const first = site.leader();
  void site.hosts.get(first)?.host.handOver(3_000);
  await site.time.advance(800);
  assert.notEqual(site.leader(), first);
});

test('large hosts lead before small ones, which lead only if no other host does', async () => {
  const site = new Simulation(29);
  ['s1', 's2', 's3', 's4', 's5'].forEach(name => site.startHost(name, 0.3));
  site.startHost('l1', 1.3);
  site.startHost('l2', 1.3);
  await site.time.advance(2_000);
  assert.match(site.leader(), /^l/u);
  site.kill(site.leader());
  await site.time.advance(2_500);
  assert.match(site.leader(), /^l/u);
  site.kill(site.leader());
  await site.time.advance(3_000);
  assert.match(site.leader(), /^s/u);
});

test('a leader that was frozen changes nothing when it resumes', async () => {
  const site = smallDeployment(6);
  void site.submit('00000000000000a6', TWO_STEPS, { runMs: 900, failures: 0 });
  await site.time.advance(1_500);
  site.freeze(site.leader(), 4_000);
  await site.time.advance(12_000);
  assert.deepEqual(site.history.check(), []);
  assert.ok(site.history.isDone('00000000000000a6'));
});

test('tasks of a lost worker run again elsewhere', async () => {
  const site = smallDeployment(7);
  void site.submit('00000000000000a7', TWO_STEPS, { runMs: 900, failures: 0 });
  await site.time.advance(1_600);
  site.fleet.crash('w1');
  await site.time.advance(25_000);
  assert.deepEqual(site.history.check(), []);
  assert.ok(site.history.isDone('00000000000000a7'));
});

test('a job whose tasks always fail ends as failed', async () => {
  const site = smallDeployment(8);
  void site.submit('00000000000000a8', [{ tasks: 1, after: [] }], {
    runMs: 100,
    failures: 99,
  });
  await site.time.advance(8_000);
  const host = site.hosts.get('h1')?.host;
  const pending = host?.service.status('00000000000000a8');
  await site.time.advance(100);
  assert.deepEqual(await pending, {
    kind: 'known',
    status: 'failed',
    failure: 'attempts_spent',
  });
  assert.deepEqual(site.history.check(), []);
});

test('no task of a cancelled job starts or keeps running', async () => {
  const site = smallDeployment(9);
  void site.submit('00000000000000a9', TWO_STEPS, {
    runMs: 5_000,
    failures: 0,
  });
  await site.time.advance(2_000);
  void site.cancel('00000000000000a9');
  await site.time.advance(10_000);
  assert.deepEqual(site.history.check(), []);
  assert.equal(site.history.isDone('00000000000000a9'), false);
});

test('an unknown job is reported as unknown', async () => {
  const site = smallDeployment(10);
  await site.time.advance(1_000);
  const pending = site.hosts.get('h2')?.host.service.status('00000000000000ff');
  await site.time.advance(100);
  assert.deepEqual(await pending, { kind: 'no_such_job' });
});

test('a host that is cut off from the log refuses at once', async () => {
  const site = smallDeployment(11);
  await site.time.advance(1_000);
  site.log.hostModes.set('h1', 'silent');
  await site.time.advance(4_000);
  const service = site.hosts.get('h1')?.host.service;
  const before = site.time.clock();
  const pending = service?.cancel('00000000000000ff', before + 3_000);
  await site.time.advance(2_000);
  assert.equal((await pending)?.kind, 'refused');
  assert.equal(site.hosts.get('h1')?.host.ready(), false);
});

test('a host that cannot read the inbox applies no journal records', async () => {
  const site = smallDeployment(12);
  void site.submit('0000000000000012', TWO_STEPS, { runMs: 900, failures: 0 });
  await site.time.advance(1_500);
  site.log.streamModes.set('inbox', 'refusing');
  const first = site.leader();
  site.kill(first);
  site.startHost(first);
  await site.time.advance(4_000);
  site.log.streamModes.delete('inbox');
  await site.time.advance(12_000);
  assert.deepEqual(site.history.check(), []);
  assert.ok(site.history.isDone('0000000000000012'));
});

test('a new leader knows of every cancellation', async () => {
  const site = smallDeployment(13);
  void site.submit('0000000000000013', [{ tasks: 2, after: [] }], {
    runMs: 9_000,
    failures: 0,
  });
  await site.time.advance(1_500);
  void site.cancel('0000000000000013');
  await site.time.advance(1_000);
  site.log.hostModes.set(site.leader(), 'refusing');
  await site.time.advance(12_000);
  assert.deepEqual(site.history.check(), []);
});

test('no task starts while cancellations cannot be read', async () => {
  const site = smallDeployment(14);
  const slow = { runMs: 4_000, failures: 0 };
  void site.submit('00000000000000b4', [{ tasks: 12, after: [] }], slow);
  await site.time.advance(1_000);
  void site.submit('0000000000000014', [{ tasks: 2, after: [] }], slow);
  await site.time.advance(200);
  site.log.hostModes.set(site.leader(), 'refusing');
  void site.cancel('0000000000000014');
  await site.time.advance(100);
  site.log.hostModes.clear();
  site.log.streamModes.set('inbox', 'refusing');
  await site.time.advance(9_000);
  site.log.streamModes.clear();
  await site.time.advance(9_000);
  assert.deepEqual(site.history.check(), []);
  assert.ok(site.history.isDone('00000000000000b4'));
});

test('a copy of the inbox that was read before a freeze is stale after it', async () => {
  const site = smallDeployment(22);
  const slow = { runMs: 4_000, failures: 0 };
  void site.submit('00000000000000c4', [{ tasks: 12, after: [] }], slow);
  await site.time.advance(1_000);
  const id = '0000000000000022';
  void site.submit(id, [{ tasks: 2, after: [] }], slow);
  await site.time.advance(200);
  const first = site.leader();
  const other = [...site.hosts].find(([name]) => name !== first)?.[1].host;
  site.freeze(first, 3_400);
  const pending = other?.service.cancel(id, site.time.clock() + 3_000);
  await site.time.advance(100);
  assert.equal((await pending)?.kind, 'recorded');
  site.history.jobs.set(id, {
    steps: [{ tasks: 2, after: [] }],
    maxAttempts: 3,
    cancelledAt: site.time.clock(),
  });
  await site.time.advance(12_000);
  assert.deepEqual(site.history.check(), []);
});

test('a start that was recorded late is not sent after its job was cancelled', async () => {
  const site = smallDeployment(15);
  await site.time.advance(2_000);
  void site.submit('0000000000000015', [{ tasks: 2, after: [] }], SHORT_RUN);
  await site.time.advance(10);
  site.log.streamModes.set('journal', 'refusing');
  await site.time.advance(500);
  void site.cancel('0000000000000015');
  await site.time.advance(5_000);
  site.log.streamModes.clear();
  await site.time.advance(5_000);
  assert.deepEqual(site.history.check(), []);
});

/**
 * Asserts that a running job survives when the log drops all but the last third of the retention
 * and every host restarts.
 */
async function assertOutlivesRecords(
  site: Simulation,
  wallOffset: number,
): Promise<void> {
  const id = '0000000000000016';
  void site.submit(id, TWO_STEPS, { runMs: 28_000, failures: 0 });
  await site.time.advance(2_000);
  site.wallOffset = wallOffset;
  await site.time.advance(13_000);
  const dropped = site.log.recordsOf('journal').length;
  await site.time.advance(11_000);
  site.log.trimJournalAndInbox(dropped);
  restartAll(site);
  await site.time.advance(60_000);
  assert.deepEqual(site.history.check(), []);
  assert.ok(site.history.isDone(id));
}

test('a job outlives its first records', () =>
  assertOutlivesRecords(smallDeployment(16), 0));

test('a job outlives its first records when clocks jump back', () =>
  assertOutlivesRecords(smallDeployment(30), -40_000));

test('the outcome of a job is known after its records were dropped', async () => {
  const site = smallDeployment(28);
  const id = '0000000000000028';
  void site.submit(id, TWO_STEPS, SHORT_RUN);
  await site.time.advance(6_000);
  assert.ok(site.history.isDone(id));
  const dropped = site.log.recordsOf('journal').length;
  await site.time.advance(11_000);
  site.log.trimJournalAndInbox(dropped);
  restartAll(site);
  await site.time.advance(4_000);
  const pending = site.hosts.get('h2')?.host.service.status(id);
  await site.time.advance(100);
  assert.deepEqual(await pending, { kind: 'known', status: 'completed' });
});

test('a job that finished long ago is removed', async () => {
  const site = smallDeployment(17);
  const id = '0000000000000017';
  void site.submit(id, TWO_STEPS, SHORT_RUN);
  await site.time.advance(60_000);
  const pending = site.hosts.get('h1')?.host.service.status(id);
  await site.time.advance(100);
  assert.deepEqual(await pending, { kind: 'no_such_job' });
});

test('a host leads even if no record of the previous epochs is left', async () => {
  const site = smallDeployment(18);
  await site.time.advance(2_000);
  for (const name of ['h1', 'h2', 'h3']) {
    site.kill(name);
  }
  await site.time.advance(1_000);
  site.log.trimJournalAndInbox(site.log.recordsOf('journal').length);
  site.startHost('h1');
  await site.time.advance(5_000);
  assert.equal(site.leader(), 'h1');
  void site.submit('0000000000000018', TWO_STEPS, SHORT_RUN);
  await site.time.advance(5_000);
  assert.ok(site.history.isDone('0000000000000018'));
});

test('an unknown outcome is reported within half of the deadline', async () => {
  const site = smallDeployment(19);
  await site.time.advance(2_000);
  const service = site.hosts.get('h1')?.host.service;
  site.log.hostModes.set('h1', 'silent');
  const job = jobOf('0000000000000019', TWO_STEPS, SHORT_RUN);
  const pending = service?.submit(job, site.time.clock() + 3_000);
  await site.time.advance(1_400);
  assert.equal((await pending)?.kind, 'unknown');
});

test('a lost answer costs a second append, not the request', async () => {
  const site = smallDeployment(20);
  await site.time.advance(2_000);
  const service = site.hosts.get('h1')?.host.service;
  site.log.unansweredAppends = 1;
  const job = jobOf('0000000000000020', TWO_STEPS, SHORT_RUN);
  const pending = service?.submit(job, site.time.clock() + 3_000);
  await site.time.advance(600);
  assert.equal((await pending)?.kind, 'recorded');
  await site.time.advance(6_000);
  assert.deepEqual(site.history.check(), []);
});

test('runs of a worker that left during a change of leaders restart within 12 s', async () => {
  const site = smallDeployment(21);
  const id = '0000000000000021';
  void site.submit(id, [{ tasks: 6, after: [] }], {
    runMs: 2_500,
    failures: 0,
  });
  await site.time.advance(1_800);
  site.fleet.crash('w1');
  site.kill(site.leader());
  await site.time.advance(15_500);
  assert.deepEqual(site.history.check(), []);
  assert.ok(site.history.isDone(id));
});

test('another change of leaders does not restart the wait for a lost worker', async () => {
  const site = smallDeployment(23);
  site.startHost('h4');
  const id = '0000000000000023';
  void site.submit(id, [{ tasks: 6, after: [] }], {
    runMs: 2_500,
    failures: 0,
  });
  await site.time.advance(1_800);
  site.fleet.crash('w1');
  for (const pauseMs of [3_000, 4_000]) {
    site.kill(site.leader());
    await site.time.advance(pauseMs);
  }
  await site.time.advance(8_500);
  assert.deepEqual(site.history.check(), []);
  assert.ok(site.history.isDone(id));
});

test('a step with speculative copies completes despite a hanging worker', async () => {
  const site = smallDeployment(24);
  const id = '0000000000000024';
  const w1 = site.fleet.at('w1');
  assert.ok(w1);
  w1.hanging = true;
  const steps = [{ tasks: 6, after: [], speculative: true, estimateMs: 400 }];
  void site.submit(id, steps, SHORT_RUN);
  await site.time.advance(2_700);
  assert.ok(site.history.isDone(id));
  await site.time.advance(4_000);
  assert.deepEqual(site.history.check(), []);
});

test('a start that was delayed by a freeze is not sent if the leader may have been replaced', async () => {
  const site = new Simulation(25);
  site.addWorker('w1');
  const names = ['h1', 'h2', 'h3'];
  names.forEach(name => site.startHost(name));
  await site.time.advance(1_500);
  const first = site.leader();
  const id = '0000000000000025';
  void site.submit(id, [{ tasks: 1, after: [] }], {
    runMs: 6_000,
    failures: 0,
  });
  const hasStart = (): boolean =>
    site.log
      .recordsOf('journal')
      .some(bytes => new TextDecoder().decode(bytes).startsWith('["s"'));
  while (!hasStart()) {
    await site.time.advance(1);
  }
  site.freeze(first, 9_000);
  // The next leader can't reach the worker and abandons its runs 9.2 s after its claim.
  for (const name of names.filter(other => other !== first)) {
    site.fleet.brokenLinks.add(`${name}>w1`);
  }
  site.addWorker('w2');
  await site.time.advance(30_000);
  assert.deepEqual(site.history.check(), []);
  assert.ok(site.history.isDone(id));
});

test('a worker that was out of reach for longer than its lease is used again', async () => {
  const site = new Simulation(26);
  site.addWorker('w1');
  const names = ['h1', 'h2', 'h3'];
  names.forEach(name => site.startHost(name));
  const id = '0000000000000026';
  // Longer than a lease, so that no run ends while the worker is out of reach.
  void site.submit(id, [{ tasks: 2, after: [] }], {
    runMs: 8_000,
    failures: 0,
  });
  await site.time.advance(2_000);
  // The worker's registry entry stays, since it can reach the store.
  names.forEach(name => site.fleet.brokenLinks.add(`${name}>w1`));
  await site.time.advance(12_000);
  site.fleet.brokenLinks.clear();
  await site.time.advance(10_000);
  assert.deepEqual(site.history.check(), []);
  assert.ok(site.history.isDone(id));
});

test('starts queued behind one without an answer are placed elsewhere at once', async () => {
  const site = new Simulation(27);
  site.addWorker('w1');
  site.addWorker('w2');
  site.startHost('h1');
  await site.time.advance(2_500);
  site.fleet.brokenLinks.add('h1>w1');
  void site.submit('0000000000000027', [{ tasks: 8, after: [] }], SHORT_RUN);
  await site.time.advance(1_800);
  const done = site.log
    .recordsOf('journal')
    .map(bytes => new TextDecoder().decode(bytes))
    .filter(text => text.startsWith('["e"') && text.includes('"done"'));
  // All but the run whose order got no answer.
  assert.equal(done.length, 7);
  await site.time.advance(20_000);
  assert.deepEqual(site.history.check(), []);
  assert.ok(site.history.isDone('0000000000000027'));
});
