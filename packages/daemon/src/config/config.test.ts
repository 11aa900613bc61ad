import assert from 'node:assert/strict';
import test from 'node:test';

import {
  CONFIG_STREAM,
  changeSetRecord,
  encodeBatch,
} from '@paddlewind/domain';

import {
  put,
  settled,
  startVirtualHosts,
  team,
  type Cluster,
} from './fixture.test.js';

async function ready(cluster: Cluster): Promise<void> {
  await cluster.time.until(() =>
    cluster.hosts.every(host => host.config.inForce()),
  );
}

function weightAt(cluster: Cluster, index: number, name: string): unknown {
  const held = cluster.host(index).config.current().objects.get(`team/${name}`);
  return held?.object.kind === 'team' ? held.object.weight : undefined;
}

test('what is accepted comes into force on every host', async () => {
  const cluster = startVirtualHosts(3);
  await ready(cluster);
  const applied = await settled(
    cluster,
    cluster.apply(0, 'a', put(team('core', 5))),
  );
  const offset = applied.unwrapOr(-1);
  const wait = cluster
    .host(1)
    .config.waitInForce(offset, cluster.time.clock() + 5_000);
  assert.deepEqual(await settled(cluster, wait), []);
  assert.deepEqual(
    [0, 1, 2].map(i => weightAt(cluster, i, 'core')),
    [5, 5, 5],
  );
  cluster.stop();
});

test('racing operators get one winner and one clear conflict', async () => {
  const cluster = startVirtualHosts(2);
  await ready(cluster);
  cluster.log.setDelay({ appendMs: 20 });
  const answers = await settled(
    cluster,
    Promise.all(
      [0, 1].map(i => cluster.apply(i, `op${i}`, put(team('core', i + 1)))),
    ),
  );
  assert.equal(answers.filter(answer => answer.isOk).length, 1);
  const refused = answers.find(answer => answer.isErr);
  assert.equal(refused?.isErr && refused.error.kind, 'conflict');
  assert.match(
    refused?.isErr === true ? refused.error.message : '',
    /team\/core is at version 1 now/,
  );
  cluster.stop();
});

test('a retry through another host gets the same verdict', async () => {
  const cluster = startVirtualHosts(2);
  await ready(cluster);
  const first = await settled(
    cluster,
    cluster.apply(0, 'a', put(team('core'))),
  );
  await cluster.time.advance(100);
  const again = await settled(
    cluster,
    cluster.apply(1, 'a', put(team('core'))),
  );
  assert.deepEqual(again, first);
  assert.equal(cluster.log.entries(CONFIG_STREAM).length, 1);
  cluster.stop();
});

test('a lost answer still ends in one verdict', async () => {
  const cluster = startVirtualHosts(2);
  await ready(cluster);
  cluster.log.loseAnswers(1);
  const lost = await settled(cluster, cluster.apply(0, 'a', put(team('core'))));
  assert.equal(lost.isOk, true);
  cluster.log.duplicate(1);
  const version = lost.unwrapOr(0);
  const doubled = await settled(
    cluster,
    cluster.apply(1, 'b', put(team('core', 2), version)),
  );
  assert.equal(doubled.isOk, true);
  assert.equal(weightAt(cluster, 1, 'core'), 2);
  cluster.stop();
});

test('invalid changes are refused at once and not written', async () => {
  const cluster = startVirtualHosts(1);
  await ready(cluster);
  const change = {
    ...put(team('core')),
    declaration: { kind: 'team', name: 'core' },
  };
  const refused = await settled(cluster, cluster.apply(0, 'a', change));
  assert.equal(
    refused.isErr && refused.error.path,
    'changes[0].declaration.quota',
  );
  assert.equal(cluster.log.entries(CONFIG_STREAM).length, 0);
  cluster.stop();
});

test('in an outage hosts go on, and a restarted one takes over from a peer', async () => {
  const cluster = startVirtualHosts(3);
  await ready(cluster);
  await settled(cluster, cluster.apply(0, 'a', put(team('core', 7))));
  await cluster.time.advance(2_000);
  cluster.log.setOutage(true);
  await cluster.time.advance(3_600_000);
  assert.equal(
    cluster.hosts.every(host => host.config.inForce()),
    true,
  );
  const refused = await settled(
    cluster,
    cluster.apply(1, 'b', put(team('ops')), 2_000),
  );
  assert.equal(refused.isErr && refused.error.outcome, 'not_run');
  cluster.restart(0);
  assert.equal(cluster.host(0).config.inForce(), false);
  await ready(cluster);
  assert.equal(weightAt(cluster, 0, 'core'), 7);
  cluster.log.setOutage(false);
  const later = await settled(
    cluster,
    cluster.apply(0, 'c', put(team('ops')), 20_000),
  );
  assert.equal(later.isOk, true);
  cluster.stop();
});

test('after an outage no host is long behind another', async () => {
  const cluster = startVirtualHosts(3, {
    fetch: () => new Promise(() => undefined),
    graceMs: 200,
  });
  await ready(cluster);
  for (let round = 0; round < 5; round++) {
    cluster.log.setOutage(true);
    await cluster.time.advance(30_000);
    cluster.log.setOutage(false);
    const change = put(team(`team-${round}`));
    void cluster.apply(0, `a${round}`, change, 20_000);
    for (let i = 0; i < 40; i++) {
      await cluster.time.advance(100);
      assert.ok(cluster.hosts.every(host => host.config.inForce()));
    }
  }
  cluster.stop();
});

test('a host that cannot obtain what it hears of stops serving until it can', async () => {
  const cluster = startVirtualHosts(3, {
    fetch: () => new Promise(() => undefined),
  });
  await ready(cluster);
  const last = cluster.host(2);
  last.cut.log = true;
  await settled(cluster, cluster.apply(0, 'a', put(team('core', 2))));
  await cluster.time.advance(3_000);
  assert.equal(last.config.inForce(), false);
  assert.match(last.config.problem() ?? '', /Offset 1 is known of, 0 is here/);
  last.cut.log = false;
  await ready(cluster);
  assert.equal(weightAt(cluster, 2, 'core'), 2);
  cluster.stop();
});

test('a host cut off from the log takes over from its peers', async () => {
  const cluster = startVirtualHosts(3);
  await ready(cluster);
  cluster.host(2).cut.log = true;
  await settled(cluster, cluster.apply(0, 'a', put(team('core', 2))));
  await cluster.time.until(() => weightAt(cluster, 2, 'core') === 2);
  assert.equal(cluster.host(2).config.inForce(), true);
  cluster.stop();
});

test('what one host read before an outage reaches the others before they stop serving', async () => {
  const cluster = startVirtualHosts(3);
  await ready(cluster);
  for (let round = 0; round < 5; round++) {
    cluster.host(1).cut.log = true;
    cluster.host(2).cut.log = true;
    const change = put(team(`team-${round}`));
    await settled(cluster, cluster.apply(0, `a${round}`, change));
    cluster.log.setOutage(true);
    for (let i = 0; i < 50; i++) {
      await cluster.time.advance(100);
      assert.ok(cluster.hosts.every(host => host.config.inForce()));
    }
    assert.equal(weightAt(cluster, 2, `team-${round}`), 1);
    cluster.log.setOutage(false);
    cluster.host(1).cut.log = false;
    cluster.host(2).cut.log = false;
    await cluster.time.advance(10_000);
  }
  cluster.stop();
});

test('a fresh host alone in an outage does not serve', async () => {
  const cluster = startVirtualHosts(1);
  await ready(cluster);
  await settled(cluster, cluster.apply(0, 'a', put(team('core'))));
  cluster.log.setOutage(true);
  cluster.restart(0);
  await cluster.time.advance(60_000);
  assert.equal(cluster.host(0).config.inForce(), false);
  assert.equal(cluster.host(0).config.offset(), 0);
  const refused = await settled(
    cluster,
    cluster.apply(0, 'b', put(team('ops'))),
  );
  assert.equal(refused.isErr && refused.error.kind, 'not_ready');
  cluster.stop();
});

test('snapshots outlive retention, and every host restarts from them', async () => {
  const retainMs = 600_000;
  const cluster = startVirtualHosts(3, {
    retainMs,
    retentionMs: retainMs,
    waitMs: 60_000,
  });
  await ready(cluster);
  await settled(cluster, cluster.apply(0, 'a', put(team('core', 3))));
  await cluster.time.advance(3 * retainMs);
  const [oldest] = cluster.log.entries(CONFIG_STREAM);
  assert.ok(
    oldest !== undefined && oldest.offset > 0,
    'the first entry has expired',
  );
  [0, 1, 2].forEach(index => {
    cluster.restart(index);
  });
  await ready(cluster);
  assert.deepEqual(
    [0, 1, 2].map(i => weightAt(cluster, i, 'core')),
    [3, 3, 3],
  );
  cluster.stop();
});

test('a repeated record is recognised after a restart from a snapshot', async () => {
  const cluster = startVirtualHosts(1, { retentionMs: 12_000, waitMs: 60_000 });
  await ready(cluster);
  const first = await settled(
    cluster,
    cluster.apply(0, 'a', put(team('core'))),
  );
  await cluster.time.advance(30_000);
  cluster.log.trim(CONFIG_STREAM, 1);
  cluster.restart(0);
  await ready(cluster);
  const again = changeSetRecord({ id: 'a', changes: [put(team('core'))] });
  await cluster.log.append(CONFIG_STREAM, encodeBatch([again]));
  await cluster.time.advance(100);
  const asked = cluster.apply(0, 'a', put(team('core')));
  assert.deepEqual(await settled(cluster, asked), first);
  cluster.stop();
});

test('with no snapshot left, a fresh host takes over from a peer', async () => {
  const cluster = startVirtualHosts(2);
  await ready(cluster);
  await settled(cluster, cluster.apply(0, 'a', put(team('core', 3))));
  cluster.log.trim(CONFIG_STREAM, 1);
  cluster.restart(1);
  await ready(cluster);
  assert.equal(weightAt(cluster, 1, 'core'), 3);
  cluster.stop();
});

test('entries that expired unread are made up for, or the host stops serving', async () => {
  const cluster = startVirtualHosts(2, {
    fetch: () => new Promise(() => undefined),
  });
  await ready(cluster);
  cluster.host(1).cut.log = true;
  await cluster.time.advance(10_000);
  await settled(cluster, cluster.apply(0, 'a', put(team('core', 3))));
  cluster.log.trim(CONFIG_STREAM, 1);
  cluster.host(1).cut.log = false;
  await cluster.time.advance(20_000);
  assert.equal(cluster.host(1).config.inForce(), false);
  assert.match(cluster.host(1).config.problem() ?? '', /no whole snapshot/);
  cluster.stop();
});

test('a record of a newer version makes a host unready and says so', async () => {
  const cluster = startVirtualHosts(1);
  await ready(cluster);
  const newer = { id: 'n', kind: 'config.change', body: { rules: 2 } };
  await cluster.log.append(CONFIG_STREAM, encodeBatch([newer]));
  await cluster.time.advance(5_000);
  assert.equal(cluster.host(0).config.inForce(), false);
  assert.match(cluster.host(0).config.problem() ?? '', /needs rules 2/);
  cluster.stop();
});
