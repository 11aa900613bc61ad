import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Simulation } from './simulation.fixture.test.js';

/** Starts two hosts with a configuration. */
async function deploymentOfTwoHosts(seed: number): Promise<Simulation> {
  const site = new Simulation(seed);
  site.configure();
  site.startHost('h1');
  site.startHost('h2');
  await site.time.advance(2_500);
  return site;
}

test('hosts that have read everything and have a configuration are ready', async () => {
  const site = await deploymentOfTwoHosts(1);
  for (const { host } of site.hosts.values()) {
    assert.ok(host.ready());
  }
});

test('a host without a configuration is not ready', async () => {
  const site = new Simulation(2);
  const host = site.startHost('h1');
  await site.time.advance(2_500);
  assert.ok(!host.ready());
});

for (const stream of ['inbox', 'journal'] as const) {
  test(`a host that has not read the ${stream} is not ready`, async () => {
    const site = await deploymentOfTwoHosts(3);
    site.log.hostStreamModes.set(`h3 ${stream}`, 'unreadable');
    const host = site.startHost('h3');
    for (let at = 0; at < 3_000; at += 50) {
      await site.time.advance(50);
      assert.ok(!host.ready());
    }
    site.log.hostStreamModes.clear();
    await site.time.advance(1_000);
    assert.ok(host.ready());
  });
}

test('a host that has read the inbox and not the journal is not ready', async () => {
  const site = await deploymentOfTwoHosts(5);
  site.log.hostStreamModes.set('h3 journal', 'unreadable');
  const host = site.startHost('h3');
  await site.time.advance(50);
  // Only the read that locates the start of the journal succeeds.
  site.log.hostStreamModes.clear();
  void host.service.status('00000000000000b2');
  await site.time.advance(1);
  site.log.hostStreamModes.set('h3 journal', 'unreadable');
  for (let at = 0; at < 1_500; at += 50) {
    await site.time.advance(50);
    assert.ok(!host.ready());
  }
});

test('a host that loses the leadership is ready again once it has read everything', async () => {
  const site = await deploymentOfTwoHosts(4);
  const name = site.leader();
  const host = site.hosts.get(name)?.host;
  assert.ok(host);
  assert.ok(host.ready());
  site.log.hostStreamModes.set(`${name} inbox`, 'unreadable');
  site.log.hostStreamModes.set(`${name} journal`, 'refusing');
  await site.time.advance(6_000);
  assert.notEqual(site.leader(), name);
  site.log.hostStreamModes.delete(`${name} journal`);
  await site.time.advance(3_000);
  assert.ok(!host.ready());
  site.log.hostStreamModes.clear();
  await site.time.advance(1_000);
  assert.ok(host.ready());
});
