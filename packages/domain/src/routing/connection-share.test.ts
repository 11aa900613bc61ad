import assert from 'node:assert/strict';
import test from 'node:test';

import fc from 'fast-check';

import { createConnectionShare } from './connection-share.js';

const SETTLE_MS = 100;
const DRAIN_MS = 200;
const HEADROOM = 3;
const PLANNED = 9;

interface Member {
  readonly id: string;
  readonly share: ReturnType<typeof createConnectionShare>;
  /** Connections held, which drain only so fast after the share has shrunk. */
  held: { count: number; until: number }[];
}

function join(id: string, connections: number, joinedAt: number): Member {
  const share = createConnectionShare({
    connections,
    planned: PLANNED,
    headroom: HEADROOM,
    settleMs: SETTLE_MS,
    drainMs: DRAIN_MS,
    self: id,
    joinedAt,
  });
  return { id, share, held: [] };
}

/** Opens as many connections as the share allows and tells how many are held. */
function use(member: Member, now: number): number {
  const limit = member.share.limitsAt(now)('s');
  const alive = member.held.filter(({ until }) => until > now);
  const held = Math.max(0, ...alive.map(({ count }) => count));
  alive.push({ count: limit, until: now + DRAIN_MS });
  member.held = alive;
  return Math.max(held, limit);
}

test('connections of all entry hosts stay within the limit while hosts come and go', () => {
  fc.assert(
    fc.property(
      fc.constantFrom(16, 64, 100),
      fc.integer({ min: 1, max: 30 }),
      fc.array(
        fc.record({
          change: fc.constantFrom('join', 'leave', 'none'),
          lagMs: fc.nat(SETTLE_MS - 20),
          waitMs: fc.nat(120),
        }),
        { maxLength: 60 },
      ),
      (connections, startCount, steps) => {
        let now = 10_000;
        let nextId = 0;
        let members = Array.from({ length: startCount }, () =>
          join(`e${nextId++}`, connections, 0),
        );
        const pending: { at: number; ids: string[]; to: Member }[] = [];
        const announce = (lagMs: number): void => {
          const ids = members.map(member => member.id);
          for (const to of members) {
            pending.push({ at: now + lagMs, ids, to });
          }
        };
        const deliver = (): void => {
          for (const { to, ids } of pending.filter(({ at }) => at <= now)) {
            to.share.setHosts(ids.length, ids, now);
          }
          pending.splice(
            0,
            pending.length,
            ...pending.filter(({ at }) => at > now),
          );
        };
        announce(0);
        deliver();
        let joinedAt: number[] = [];
        for (const { change, lagMs, waitMs } of steps) {
          now += waitMs;
          deliver();
          joinedAt = joinedAt.filter(at => now - at < SETTLE_MS + DRAIN_MS);
          if (change === 'join' && joinedAt.length < HEADROOM) {
            const joiner = join(`e${nextId++}`, connections, now);
            members.push(joiner);
            const ids = members.map(member => member.id);
            joiner.share.setHosts(ids.length, ids, now);
            joinedAt.push(now);
            announce(lagMs);
          } else if (change === 'leave' && members.length > 1) {
            members = members.slice(1);
            announce(lagMs);
          }
          const total = members.reduce(
            (sum, member) => sum + use(member, now),
            0,
          );
          assert.ok(total <= connections, `${total} of ${connections}`);
        }
      },
    ),
    { seed: 4, numRuns: 300 },
  );
});

test('a share shrinks at once and grows only after the settling time', () => {
  const { share } = join('e0', 64, 0);
  share.setHosts(9, [], 10_000);
  assert.equal(share.limitsAt(10_000)('s'), 5);
  share.setHosts(20, [], 11_000);
  assert.equal(share.limitsAt(11_000)('s'), 2);
  share.setHosts(9, [], 12_000);
  assert.equal(share.limitsAt(12_000)('s'), 2);
  assert.equal(share.limitsAt(12_000 + SETTLE_MS + DRAIN_MS)('s'), 5);
});
