/*
 * Guards against a load that grows with the number of hosts times decisions, in bytes and processor
 * time, as when each of many hosts reads and folds every decision. Only nine hosts read the journal
 * whatever the size of the fleet. All others have to answer callers just as correctly, also while
 * leaders change.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { FaultTimes } from '@paddlewind/stand-ins/jobs';

import { jobOf, Simulation } from './simulation.fixture.test.js';

const SHORT_RUN = { runMs: 400, failures: 0 };
const ENDLESS_RUN = { runMs: 10_000_000, failures: 0 };
const HOSTS = 24;
/** The leader and its standbys. */
const READERS = 9;

/** Starts many hosts and waits until those that are not standbys follow the summary. */
async function largeDeployment(seed: number): Promise<Simulation> {
  const site = new Simulation(seed);
  site.history.faults = new FaultTimes();
  ['w1', 'w2', 'w3'].forEach(name => {
    site.addWorker(name);
  });
  for (let at = 0; at < HOSTS; at += 1) {
    site.startHost(`h${at}`, at < 12 ? 1.3 : 0.3);
  }
  await site.time.advance(7_000);
  return site;
}

/** Returns the hosts that read the journal within the next two seconds, and the leader. */
async function journalReaders(site: Simulation): Promise<Set<string>> {
  const readers = new Set([site.leader()]);
  const seen = site.log.watchReads((host, stream) => {
    if (stream === 'journal') {
      readers.add(host);
    }
  });
  await site.time.advance(2_000);
  seen.stop();
  return readers;
}

function idOf(at: number): string {
  return (at + 1).toString(16).padStart(16, '0');
}

test('of many hosts the nine largest read the journal', async () => {
  const site = await largeDeployment(1);
  const readers = await journalReaders(site);
  assert.equal(readers.size, READERS);
  for (const host of readers) {
    assert.ok(Number(host.slice(1)) < 12, host);
  }
});

test('every host reports the state of a job and the length of the queue', async () => {
  const site = await largeDeployment(2);
  const done = idOf(1);
  const waiting = [idOf(2), idOf(3)];
  void site.submit(done, [{ tasks: 2, after: [] }], SHORT_RUN);
  for (const id of waiting) {
    void site.submit(id, [{ tasks: 1, after: [], label: 'none' }], SHORT_RUN);
  }
  await site.time.advance(3_000);
  for (const { host } of site.hosts.values()) {
    const status = host.service.status(done);
    const length = host.service.queueLength('checks');
    const denied = host.service.status(idOf(99));
    await site.time.advance(100);
    assert.deepEqual(await status, { kind: 'known', status: 'completed' });
    assert.equal(await length, waiting.length);
    assert.equal((await denied).kind, 'no_such_job');
  }
  assert.deepEqual(site.history.check(), []);
});

test('an accepted job is known on all hosts, also without a leader', async () => {
  const site = await largeDeployment(3);
  site.kill(site.leader());
  const id = idOf(1);
  void site.submit(id, [{ tasks: 1, after: [] }], SHORT_RUN);
  // The asked host notices that the leader is lost and appends by itself.
  await site.time.advance(600);
  const alive = [...site.hosts.values()].filter(host => host.alive);
  for (const { host } of alive) {
    const status = host.service.status(id);
    await site.time.advance(20);
    assert.equal((await status).kind, 'known');
  }
});

test('a new standby is chosen after the leader and a standby were lost', async () => {
  const site = await largeDeployment(4);
  const before = await journalReaders(site);
  const [standby] = [...before].filter(host => host !== site.leader());
  site.kill(standby ?? '');
  site.kill(site.leader());
  await site.time.advance(2_000);
  const { length } = site.log.recordsOf('journal');
  await site.time.advance(20_000);
  assert.ok(site.log.recordsOf('journal').length > length);
  assert.equal((await journalReaders(site)).size, READERS);
});

test('another host leads after all hosts that read the journal were lost', async () => {
  const site = await largeDeployment(5);
  for (const host of await journalReaders(site)) {
    site.kill(host);
  }
  const id = idOf(1);
  void site.submit(id, [{ tasks: 1, after: [] }], SHORT_RUN);
  await site.time.advance(2_500);
  for (const { host } of [...site.hosts.values()].filter(host => host.alive)) {
    const length = host.service.queueLength('checks');
    await site.time.advance(20);
    assert.equal(await length, 1);
  }
  await site.time.advance(7_000);
  assert.ok(site.history.isDone(id));
  assert.deepEqual(site.history.check(), []);
});

test('a host that joins many others learns of all jobs without reading the journal', async () => {
  const site = await largeDeployment(6);
  const ids = Array.from({ length: 5 }, (_, at) => idOf(at));
  for (const id of ids) {
    void site.submit(id, [{ tasks: 1, after: [] }], ENDLESS_RUN);
  }
  await site.time.advance(25_000);
  site.configure();
  const newHost = site.startHost('late', 0.3);
  const readers = await journalReaders(site);
  assert.ok(!readers.has('late'));
  assert.ok(newHost.ready());
  for (const id of ids) {
    const pendingStatus = newHost.service.status(id);
    await site.time.advance(20);
    assert.deepEqual(await pendingStatus, { kind: 'known', status: 'running' });
  }
});

test('of many restarted hosts only standbys read the journal', async () => {
  const site = await largeDeployment(10);
  const before = await journalReaders(site);
  const readers = new Set<string>();
  site.log.watchReads((host, stream) => {
    if (stream === 'journal') {
      readers.add(host);
    }
  });
  const others = [...site.hosts.keys()].filter(name => !before.has(name));
  for (const name of others) {
    await site.time.advance(330);
    site.kill(name);
    site.startHost(name, 0.3);
  }
  await site.time.advance(1_000);
  assert.deepEqual(
    others.filter(name => readers.has(name)),
    [],
  );
});

test('a host that is stopping still accepts jobs', async () => {
  const site = await largeDeployment(11);
  const { host } = site.hosts.get('h20') ?? {};
  void host?.handOver(3_000);
  await site.time.advance(2_200);
  const job = jobOf(idOf(1), [{ tasks: 1, after: [] }], SHORT_RUN);
  const answer = host?.service.submit(job, site.time.clock() + 3_000);
  await site.time.advance(100);
  assert.equal((await answer)?.kind, 'recorded');
});

test('a host that missed dropped summary records starts again from a snapshot', async () => {
  const site = await largeDeployment(7);
  const id = idOf(1);
  const name = 'h20';
  void site.submit(id, [{ tasks: 1, after: [] }], SHORT_RUN);
  site.log.hostModes.set(name, 'silent');
  await site.time.advance(25_000);
  site.log.trimStream('summary', site.log.recordsOf('summary').length - 20);
  site.log.hostModes.delete(name);
  await site.time.advance(3_000);
  const pendingStatus = site.hosts.get(name)?.host.service.status(id);
  await site.time.advance(100);
  assert.deepEqual(await pendingStatus, { kind: 'known', status: 'completed' });
});

test('a host that starts after the log has dropped most records learns of all jobs', async () => {
  const site = await largeDeployment(9);
  const done = idOf(1);
  const open = idOf(2);
  void site.submit(done, [{ tasks: 2, after: [] }], SHORT_RUN);
  void site.submit(open, [{ tasks: 1, after: [] }], ENDLESS_RUN);
  await site.time.advance(20_000);
  for (const stream of ['inbox', 'journal', 'summary'] as const) {
    site.log.trimStream(stream, site.log.recordsOf(stream).length - 20);
  }
  site.log.trimStream('snapshot', site.log.recordsOf('snapshot').length - 1);
  site.configure();
  const newHost = site.startHost('late', 0.3);
  await site.time.advance(1_000);
  assert.ok(newHost.ready());
  const statuses = [newHost.service.status(done), newHost.service.status(open)];
  await site.time.advance(100);
  assert.deepEqual(await Promise.all(statuses), [
    { kind: 'known', status: 'completed' },
    { kind: 'known', status: 'running' },
  ]);
});

test('no host reports a decision that the leader could not record', async () => {
  const site = await largeDeployment(8);
  const id = idOf(1);
  const steps = [{ tasks: 1, after: [] }];
  void site.submit(id, steps, { runMs: 1_000, failures: 0 });
  await site.time.advance(500);
  site.log.streamModes.set('journal', 'refusing');
  await site.time.advance(2_000);
  assert.ok(site.history.isDone(id));
  for (const { host } of site.hosts.values()) {
    const pendingStatus = host.service.status(id);
    await site.time.advance(1_500);
    const status = await pendingStatus;
    assert.ok(status.kind !== 'known' || status.status !== 'completed');
  }
});
