import assert from 'node:assert/strict';
import test from 'node:test';

import { seededRandom, type Random } from '@paddlewind/domain';
import { createFakeNetwork, type FakeNetwork } from '@paddlewind/stand-ins';

const SEEDS = [1, 2, 3, 4, 5, 6, 92];
const FAULTS = 40;
const CONVERGED_WITHIN_MS = 90_000;

function idsOf(hosts: number): string[] {
  return Array.from({ length: hosts }, (_, index) => `h${index}`);
}

function pick(ids: readonly string[], random: Random): string {
  return ids[Math.floor(random() * ids.length)] ?? '';
}

/** Draws faults; returns the hosts that are down at the end. */
function disturb(
  net: FakeNetwork,
  ids: readonly string[],
  random: Random,
): ReadonlySet<string> {
  const down = new Set<string>();
  for (let fault = 0; fault < FAULTS; fault++) {
    const id = pick(ids, random);
    const draw = random();
    if (down.has(id)) {
      net.restart(id);
      down.delete(id);
    } else if (draw < 0.25) {
      net.stop(id, random() < 0.5 ? 'refuses' : 'silent');
      down.add(id);
    } else if (draw < 0.5) {
      net.pause(id, Math.floor(random() * 8_000));
    } else if (draw < 0.9) {
      net.cut(id, pick(ids, random));
    } else {
      net.heal();
    }
    net.run(Math.floor(random() * 3_000));
  }
  return down;
}

function agrees(
  net: FakeNetwork,
  observer: string,
  up: readonly string[],
): boolean {
  const seen = net.membership(observer).members();
  const ready = seen.filter(member => member.state === 'ready');
  return seen.length === up.length - 1 && ready.length === seen.length;
}

function disagreements(
  net: FakeNetwork,
  up: readonly string[],
  down: ReadonlySet<string>,
): string {
  const lines = up
    .filter(id => !agrees(net, id, up))
    .map(id => {
      const seen = net.membership(id).members();
      const states = new Map(seen.map(member => [member.id, member.state]));
      const absent = up.filter(other => other !== id && !states.has(other));
      const odd = seen.filter(m => m.state !== 'ready' || down.has(m.id));
      const told = odd.map(member => `${member.id} ${member.state}`);
      return `${id}: ${told.join(', ')}; absent: ${absent.join(', ')}`;
    });
  return `down: ${[...down].join(', ')}\n${lines.join('\n')}`;
}

for (const seed of SEEDS) {
  test(`views converge after faults drawn from seed ${seed}`, () => {
    const random = seededRandom(seed);
    const hosts = seed % 2 === 0 ? 24 : 9;
    const net = createFakeNetwork({
      hosts,
      seed,
      regions: seed % 3 === 0 ? 2 : 1,
    });
    const ids = idsOf(hosts);
    net.run(5_000);
    const down = disturb(net, ids, random);
    net.heal();
    const up = ids.filter(id => !down.has(id));
    const agreed = () => up.every(id => agrees(net, id, up));
    const tookMs = net.runUntil(agreed, CONVERGED_WITHIN_MS);
    assert.ok(tookMs !== undefined, disagreements(net, up, down));
  });
}
