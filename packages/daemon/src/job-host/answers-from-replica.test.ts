/*
 * Guards against wrong answers from a copy that is not up to date.
 *
 * Two hosts reported an empty queue while 26 and 24 jobs had waited for over 5 s. All hosts had
 * been killed 10 s before; those with a link of 10 Mbit/s received 0.8 MB a second from the log,
 * but no read completed: reads asked for 1 MiB, several ran concurrently, none arrived within 1.5
 * s, and the same records were requested again and again. A host that could not read counted in its
 * old copy and reported "unknown" as "none". For the same reason a host denied a job whose records
 * it had not read yet.
 *
 * A slow link alone reproduces this in the first test. Each way of answering from an outdated copy
 * gives a wrong number in one of the tests below.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { jobOf, Simulation } from './simulation.fixture.test.js';

const SHORT_RUN = { runMs: 400, failures: 0 };
const JOBS = ['00000000000000e1', '00000000000000e2', '00000000000000e3'];

/** Starts three hosts without workers, so that every job waits. */
async function deploymentWithWaitingJobs(seed: number): Promise<Simulation> {
  const site = new Simulation(seed);
  for (const name of ['h1', 'h2', 'h3']) {
    site.startHost(name);
  }
  await site.time.advance(2_500);
  for (const id of JOBS) {
    void site.submit(id, [{ tasks: 2, after: [] }], SHORT_RUN);
  }
  await site.time.advance(1_000);
  return site;
}

function follower(site: Simulation): string {
  const name = [...site.hosts.keys()].find(host => host !== site.leader());
  assert.ok(name);
  return name;
}

/** Asks a host for the length of the queue, and fails if it returns a wrong one. */
async function assertUnknownOrCorrect(
  site: Simulation,
  name: string,
): Promise<void> {
  const pending = site.hosts.get(name)?.host.service.queueLength('checks');
  await site.time.advance(2_000);
  const length: number | undefined = await pending;
  assert.ok(
    length === undefined || length === JOBS.length,
    `reported ${length}`,
  );
}

test('every host reports how many jobs wait', async () => {
  const site = await deploymentWithWaitingJobs(1);
  for (const { host } of site.hosts.values()) {
    const pending = host.service.queueLength('checks');
    await site.time.advance(100);
    assert.equal(await pending, JOBS.length);
  }
});

test('a host that cannot read the log does not report a queue length', async () => {
  const site = new Simulation(2);
  ['h1', 'h2', 'h3'].forEach(name => site.startHost(name));
  await site.time.advance(2_500);
  const name = follower(site);
  site.log.hostModes.set(name, 'unreadable');
  for (const id of JOBS) {
    void site.submit(id, [{ tasks: 2, after: [] }], SHORT_RUN);
  }
  await site.time.advance(6_000);
  await assertUnknownOrCorrect(site, name);
});

test('a query waits for a read that another caller started', async () => {
  const site = new Simulation(3);
  ['h1', 'h2', 'h3'].forEach(name => site.startHost(name));
  await site.time.advance(2_500);
  const name = follower(site);
  site.log.hostModes.set(name, 'silent');
  for (const id of JOBS) {
    void site.submit(id, [{ tasks: 2, after: [] }], SHORT_RUN);
  }
  await site.time.advance(6_000);
  void site.hosts.get(name)?.host.service.queueLength('checks');
  await site.time.advance(200);
  await assertUnknownOrCorrect(site, name);
});

test('a host that just lost the leadership does not report an empty queue', async () => {
  const site = await deploymentWithWaitingJobs(4);
  const name = site.leader();
  const service = site.hosts.get(name)?.host.service;
  assert.ok(service);
  void service.queueLength('checks');
  site.log.hostModes.set(name, 'refusing');
  await site.time.advance(2_400);
  void service.queueLength('checks');
  await site.time.advance(100);
  site.log.hostModes.delete(name);
  while (site.leader() === name) {
    await site.time.advance(10);
  }
  const pendingLengths: Promise<number | undefined>[] = [];
  for (let at = 0; at < 60; at += 1) {
    pendingLengths.push(service.queueLength('checks'));
    await site.time.advance(11);
  }
  await site.time.advance(2_000);
  for (const length of await Promise.all(pendingLengths)) {
    assert.ok(
      length === undefined || length === JOBS.length,
      `reported ${length}`,
    );
  }
});

test('a job whose only start was never carried out is counted as waiting', async () => {
  const site = await deploymentWithWaitingJobs(5);
  site.addWorker('w1');
  site.fleet.rejectsStarts = true;
  await site.time.advance(3_000);
  for (const name of site.hosts.keys()) {
    await assertUnknownOrCorrect(site, name);
  }
});

test('jobs whose start commands are still queued are counted as waiting', async () => {
  const site = new Simulation(9);
  site.addWorker('w1');
  ['h1', 'h2'].forEach(name => site.startHost(name));
  await site.time.advance(2_500);
  site.fleet.orderDelays.set('w1', 450);
  const size = { cpuMilli: 200, memoryMiB: 10, accelerators: 0 };
  const ids = Array.from({ length: 20 }, (_, at) =>
    (at + 1).toString(16).padStart(16, '0'),
  );
  for (const id of ids) {
    const step = { tasks: 1, after: [], size };
    void site.submit(id, [step], { runMs: 60_000, failures: 0 });
  }
  await site.time.advance(5_000);
  for (const { host } of site.hosts.values()) {
    const waiting = ids.filter(
      id => site.history.countActiveRuns(id) === 0,
    ).length;
    const pending = host.service.queueLength('checks');
    await site.time.advance(200);
    const length: number | undefined = await pending;
    assert.ok(
      length !== undefined && length >= waiting / 2,
      `${length}, ${waiting}`,
    );
  }
});

test('a leader that cannot write reports neither queue lengths nor completed jobs', async () => {
  const site = await deploymentWithWaitingJobs(10);
  site.addWorker('w1');
  await site.time.advance(600);
  const leader = site.hosts.get(site.leader())?.host.service;
  assert.ok(leader);
  site.log.streamModes.set('journal', 'refusing');
  await site.time.advance(1_000);
  const id = JOBS[0] ?? '';
  assert.ok(site.history.isDone(id));
  const status = leader.status(id);
  const length = leader.queueLength('checks');
  await site.time.advance(2_000);
  assert.deepEqual(await status, { kind: 'unavailable' });
  assert.equal(await length, undefined);
});

test('a host that has not read the journal does not deny a job', async () => {
  const site = await deploymentWithWaitingJobs(6);
  await site.time.advance(15_000);
  // Only the leader's restatement of the jobs is left.
  site.log.trimJournalAndInbox(4);
  const name = follower(site);
  site.kill(name);
  site.log.streamModes.set('journal', 'refusing');
  site.startHost(name);
  await site.time.advance(300);
  const pending = site.hosts.get(name)?.host.service.status(JOBS[0] ?? '');
  await site.time.advance(1_000);
  assert.notEqual((await pending)?.kind, 'no_such_job');
});

test('a host on a slow link reads everything that the log keeps', async () => {
  const site = new Simulation(7);
  ['h1', 'h2', 'h3'].forEach(name => site.startHost(name));
  await site.time.advance(2_500);
  const payload = 'p'.repeat(4_000);
  const ids = Array.from({ length: 300 }, (_, at) =>
    (at + 1).toString(16).padStart(16, '0'),
  );
  for (const id of ids) {
    void site.submit(id, [{ tasks: 1, after: [] }], { ...SHORT_RUN, payload });
  }
  await site.time.advance(12_000);
  const name = follower(site);
  site.kill(name);
  // At this rate a mebibyte takes 1.7 s.
  site.log.linkRates.set(name, 600);
  site.startHost(name);
  await site.time.advance(12_000);
  const pending = site.hosts.get(name)?.host.service.queueLength('checks');
  await site.time.advance(1_000);
  assert.equal(await pending, ids.length);
});

test('a host that missed dropped records rebuilds its copy', async () => {
  const site = new Simulation(8);
  ['h1', 'h2', 'h3'].forEach(name => site.startHost(name));
  await site.time.advance(2_500);
  const id = JOBS[0] ?? '';
  void site.submit(id, [{ tasks: 2, after: [] }], SHORT_RUN);
  await site.time.advance(2_000);
  const name = follower(site);
  const service = site.hosts.get(name)?.host.service;
  void service?.status(id);
  await site.time.advance(500);
  site.log.hostModes.set(name, 'silent');
  // The job finishes while the host is cut off from the log, and the records of that are dropped.
  site.addWorker('w1');
  await site.time.advance(4_000);
  site.log.trimJournalAndInbox(site.log.recordsOf('journal').length);
  await site.time.advance(12_000);
  site.log.hostModes.delete(name);
  await site.time.advance(6_000);
  const pending = service?.status(id);
  await site.time.advance(1_500);
  assert.deepEqual(await pending, { kind: 'known', status: 'completed' });
});

test('a host that reads the journal late does not repeat completed tasks', async () => {
  const site = new Simulation(11);
  ['h1', 'h2', 'h3'].forEach(name => site.startHost(name));
  site.addWorker('w1');
  await site.time.advance(2_500);
  const name = follower(site);
  site.kill(name);
  const id = JOBS[0] ?? '';
  const steps = [
    { tasks: 2, after: [] },
    // Keeps the job unfinished.
    { tasks: 1, after: [0], label: 'none' },
  ];
  void site.submit(id, steps, SHORT_RUN);
  await site.time.advance(300);
  site.log.hostStreamModes.set(`${name} journal`, 'refusing');
  site.startHost(name);
  const late = site.hosts.get(name)?.host.service;
  void late?.status(id);
  // Meanwhile the first step completes, and the records of that are dropped.
  await site.time.advance(2_000);
  const dropped = site.log.recordsOf('journal').length;
  await site.time.advance(12_000);
  site.log.trimJournalAndInbox(dropped);
  site.log.hostStreamModes.clear();
  await site.time.advance(3_000);
  for (const other of site.hosts.keys()) {
    if (other !== name) {
      site.kill(other);
    }
  }
  await site.time.advance(15_000);
  assert.equal(site.leader(), name);
  assert.deepEqual(site.history.check(), []);
});

test('a host that knows a job only from its own append sees its cancellation', async () => {
  const site = new Simulation(12);
  ['h1', 'h2'].forEach(name => site.startHost(name));
  await site.time.advance(2_500);
  const name = 'h3';
  site.log.hostStreamModes.set(`${name} inbox`, 'unreadable');
  site.startHost(name);
  await site.time.advance(500);
  const id = JOBS[0] ?? '';
  const service = site.hosts.get(name)?.host.service;
  const job = jobOf(id, [{ tasks: 2, after: [] }], SHORT_RUN);
  const submitted = service?.submit(job, site.time.clock() + 3_000);
  await site.time.advance(100);
  assert.deepEqual(await submitted, { kind: 'recorded' });
  const other = site.hosts.get('h1')?.host.service;
  const cancelled = other?.cancel(id, site.time.clock() + 3_000);
  await site.time.advance(100);
  assert.deepEqual(await cancelled, { kind: 'recorded' });
  await site.time.advance(12_000);
  site.log.trimJournalAndInbox(0);
  site.log.hostStreamModes.clear();
  await site.time.advance(3_000);
  const pending = service?.status(id);
  await site.time.advance(1_500);
  assert.deepEqual(await pending, { kind: 'known', status: 'cancelled' });
});
