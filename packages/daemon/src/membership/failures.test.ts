import assert from 'node:assert/strict';
import test from 'node:test';

import { createFakeNetwork, type FakeNetwork } from '@paddlewind/stand-ins';

const SETTLE_MS = 5_000;

function ids(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `h${index}`);
}

function settled(hosts: number, regions = 1): FakeNetwork {
  const net = createFakeNetwork({ hosts, regions });
  net.run(SETTLE_MS);
  return net;
}

function stateOf(net: FakeNetwork, observer: string, id: string): string {
  const members = net.membership(observer).members();
  return members.find(member => member.id === id)?.state ?? 'gone';
}

function everyoneSees(
  net: FakeNetwork,
  hosts: number,
  id: string,
  state: string,
): boolean {
  const observers = ids(hosts).filter(observer => observer !== id);
  return observers.every(observer => stateOf(net, observer, id) === state);
}

for (const hosts of [2, 9, 30]) {
  test(`${hosts} hosts find one another`, () => {
    const net = settled(hosts);
    for (const id of ids(hosts)) {
      const seen = net.membership(id).members();
      assert.equal(seen.length, hosts - 1);
      assert.ok(seen.every(member => member.state === 'ready'));
    }
  });

  test(`a dead process is noticed by ${hosts} hosts and comes back`, () => {
    const net = settled(hosts);
    net.stop('h1', 'refuses');
    const gone = () => everyoneSees(net, hosts, 'h1', 'gone');
    assert.ok(net.runUntil(gone, 20_000) !== undefined);
    net.restart('h1');
    const back = () => everyoneSees(net, hosts, 'h1', 'ready');
    assert.ok(net.runUntil(back, 20_000) !== undefined);
  });
}

test('a silent host is suspected before it is judged', () => {
  const net = settled(9);
  net.stop('h3', 'silent');
  const suspected = () => everyoneSees(net, 9, 'h3', 'suspected');
  assert.ok(net.runUntil(suspected, 10_000) !== undefined);
  const gone = () => everyoneSees(net, 9, 'h3', 'gone');
  assert.ok(net.runUntil(gone, 10_000) !== undefined);
});

test('a cut between two hosts costs neither its place', () => {
  const net = settled(9);
  net.cut('h0', 'h1');
  net.cut('h1', 'h0');
  for (let second = 0; second < 30; second++) {
    net.run(1_000);
    assert.ok(everyoneSees(net, 9, 'h1', 'ready'));
    assert.ok(everyoneSees(net, 9, 'h0', 'ready'));
  }
});

test('a host that nobody can call is suspected but kept', () => {
  const net = settled(9);
  ids(9).forEach(id => {
    net.cut(id, 'h4');
  });
  const suspected = () => everyoneSees(net, 9, 'h4', 'suspected');
  assert.ok(net.runUntil(suspected, 10_000) !== undefined);
  for (let second = 0; second < 30; second++) {
    net.run(1_000);
    assert.ok(everyoneSees(net, 9, 'h4', 'suspected'));
  }
  net.heal();
  const ready = () => everyoneSees(net, 9, 'h4', 'ready');
  assert.ok(net.runUntil(ready, 10_000) !== undefined);
});

test('a host whose calls are all lost knows that it is cut off', () => {
  const net = settled(9);
  ids(9).forEach(id => {
    net.cut('h4', id);
  });
  const knows = () => net.membership('h4').cutOff(net.now());
  assert.ok(net.runUntil(knows, 10_000) !== undefined);
  assert.ok(!net.membership('h0').cutOff(net.now()));
});

test('an isolated host judges nobody', () => {
  const net = settled(9);
  for (const id of ids(9).filter(other => other !== 'h0')) {
    net.cut('h0', id);
    net.cut(id, 'h0');
  }
  net.run(20_000);
  assert.equal(net.membership('h0').members().length, 8);
  assert.ok(net.membership('h0').cutOff(net.now()));
  assert.ok(everyoneSees(net, 9, 'h0', 'gone'));
  net.heal();
  const back = () => everyoneSees(net, 9, 'h0', 'ready');
  assert.ok(net.runUntil(back, 20_000) !== undefined);
});

for (const pauseMs of [900, 2_500, 20_000]) {
  test(`an own pause of ${pauseMs} ms is not held against peers`, () => {
    const net = settled(9);
    for (let round = 0; round < 5; round++) {
      net.pause('h2', pauseMs);
      const until = net.now() + pauseMs + 3_000;
      while (net.now() < until) {
        net.run(20);
        const seen = net.membership('h2').members();
        assert.ok(
          seen.every(member => member.id === 'h2' || member.state === 'ready'),
        );
        assert.equal(seen.length, 8);
      }
    }
  });
}

test('a host that leaves goes without suspicion', () => {
  const net = settled(9);
  net
    .membership('h5')
    .setSelf({ state: 'leaving', configOffset: 0 }, net.now());
  const leaving = () => everyoneSees(net, 9, 'h5', 'leaving');
  assert.ok(net.runUntil(leaving, 2_000) !== undefined);
  net.stop('h5', 'refuses');
  const gone = () => everyoneSees(net, 9, 'h5', 'gone');
  const tookMs = net.runUntil(gone, 5_000);
  assert.ok(tookMs !== undefined && tookMs < 1_500);
});

test('offsets reach 30 hosts in two regions, and a lost region is noticed', () => {
  const net = settled(30, 2);
  net.membership('h0').setSelf({ state: 'ready', configOffset: 7 }, net.now());
  const heard = () =>
    ids(30).every(id =>
      net
        .membership(id)
        .members()
        .every(member => member.id !== 'h0' || member.configOffset === 7),
    );
  assert.ok(net.runUntil(heard, 10_000) !== undefined);
  for (const a of ids(30).filter((_, index) => index % 2 === 0)) {
    for (const b of ids(30).filter((_, index) => index % 2 === 1)) {
      net.cut(a, b);
      net.cut(b, a);
    }
  }
  const alone = () =>
    ids(30).every(id => net.membership(id).members().length === 14);
  assert.ok(net.runUntil(alone, 90_000) !== undefined);
  net.heal();
  const whole = () =>
    ids(30).every(id => net.membership(id).members().length === 29);
  assert.ok(net.runUntil(whole, 90_000) !== undefined);
});

test('news dies out in a quiet network', () => {
  const net = settled(30);
  net.run(30_000);
  const told = ids(30).map(id => net.traffic(id).told);
  net.run(10_000);
  assert.deepEqual(
    ids(30).map(id => net.traffic(id).told),
    told,
  );
});

test('members of large regions are not taken for silent elsewhere', () => {
  const net = settled(60, 3);
  for (let second = 0; second < 60; second++) {
    net.run(1_000);
    for (const id of ids(60)) {
      const members = net.membership(id).members();
      assert.equal(members.length, 59);
      assert.ok(members.every(member => member.state === 'ready'));
    }
  }
});
