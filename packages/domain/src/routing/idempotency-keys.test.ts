import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import type { StreamRecord } from '../streams/record.js';
import {
  createKeyTable,
  KEY_CLAIMED,
  KEY_DONE,
  KEY_HORIZON,
  KEY_RELEASED,
  type KeyTable,
} from './idempotency-keys.js';

const OWNER = { host: 'entry-1', incarnation: 'i' };

function claimed(claim: string, key = 'k'): StreamRecord {
  const requestHash = `hash of ${claim}`;
  const body = { service: 'web', key, requestHash, ...OWNER };
  return { id: claim, kind: KEY_CLAIMED, body };
}

function done(claim: string, status: number, key = 'k'): StreamRecord {
  const body = { service: 'web', key, claim, status };
  return { id: `${claim}/done`, kind: KEY_DONE, body };
}

function released(claim: string, key = 'k'): StreamRecord {
  const body = { service: 'web', key, claim };
  return { id: `${claim}/released`, kind: KEY_RELEASED, body };
}

function horizon(offset: number): StreamRecord {
  return { id: `horizon ${offset}`, kind: KEY_HORIZON, body: { offset } };
}

function after(...records: StreamRecord[]): KeyTable {
  const table = createKeyTable();
  records.forEach((record, offset) => {
    table.apply({ ...record, position: { offset, index: 0 } });
  });
  return table;
}

test('the first claim counts and keeps its outcome', () => {
  const table = after(
    claimed('a'),
    claimed('b'),
    done('b', 500),
    done('a', 201),
  );
  const state = table.lookup('web', 'k');
  assert.equal(state?.claim, 'a');
  assert.equal(state.requestHash, 'hash of a');
  assert.equal(state.status, 201);
  assert.equal(table.lookup('other', 'k'), undefined);
});

test('a claim that was given back does not count, whenever it arrives', () => {
  const late = after(released('a'), claimed('a'));
  assert.equal(late.lookup('web', 'k'), undefined);
  const next = after(claimed('a'), released('a'), claimed('b'));
  assert.equal(next.lookup('web', 'k')?.claim, 'b');
  const answered = after(claimed('a'), done('a', 200), released('a'));
  assert.equal(answered.lookup('web', 'k')?.status, 200);
});

test('a key expires at the horizon', () => {
  const before = after(claimed('a'), claimed('b', 'l'), horizon(1));
  assert.equal(before.lookup('web', 'k'), undefined);
  assert.equal(before.lookup('web', 'l')?.claim, 'b');
  const again = after(claimed('a'), horizon(1), claimed('b'));
  assert.equal(again.lookup('web', 'k')?.claim, 'b');
  const ahead = after(horizon(1_000), claimed('a'));
  assert.equal(ahead.lookup('web', 'k')?.claim, 'a');
});

test('malformed records change nothing', () => {
  const empty = { id: '1', kind: KEY_CLAIMED, body: {} };
  const foreign = { id: '2', kind: 'other', body: {} };
  assert.equal(after(empty, foreign).size(), 0);
});

interface Step {
  readonly kind: 'claim' | 'done' | 'release' | 'repeat' | 'horizon';
  readonly which: number;
}

const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.record({
    kind: fc.constantFrom(
      'claim',
      'claim',
      'done',
      'release',
      'repeat',
      'horizon',
    ),
    which: fc.nat(20),
  }),
  { maxLength: 40 },
);

/** Turns steps into a log of one key; each claim ends at most once. */
function toLog(from: readonly Step[]): StreamRecord[] {
  const claims: string[] = [];
  const ended = new Set<string>();
  const log: StreamRecord[] = [];
  for (const { kind, which } of from) {
    const claim = claims[which % Math.max(1, claims.length)];
    if (kind === 'claim') {
      claims.push(`c${claims.length}`);
      log.push(claimed(claims.at(-1) ?? ''));
    } else if (kind === 'horizon') {
      log.push(horizon(which));
    } else if (claim !== undefined && kind === 'repeat') {
      log.push(claimed(claim));
    } else if (claim !== undefined && !ended.has(claim)) {
      ended.add(claim);
      log.push(kind === 'done' ? done(claim, 200) : released(claim));
    }
  }
  return log;
}

/** The oracle: decides on a claim by scanning the log before it. */
function holderOf(log: readonly StreamRecord[]): string | undefined {
  let holder: { id: string; offset: number; done: boolean } | undefined;
  let limit = 0;
  log.forEach(({ id, kind, body }, offset) => {
    const { claim, offset: to } = body as { claim?: string; offset?: number };
    if (kind === KEY_HORIZON) {
      limit = Math.max(limit, Math.min(to ?? 0, offset));
    }
    if (holder !== undefined && holder.offset < limit) {
      holder = undefined;
    }
    const given = log
      .slice(0, offset)
      .some((r, at) => r.id === `${id}/released` && at >= limit);
    if (kind === KEY_CLAIMED && holder === undefined && !given) {
      holder = { id, offset, done: false };
    } else if (holder !== undefined && claim === holder.id) {
      holder.done ||= kind === KEY_DONE;
      holder = holder.done ? holder : undefined;
    }
  });
  return holder?.id;
}

test('on every prefix the claim that counts is the oracle’s', () => {
  fc.assert(
    fc.property(steps, from => {
      const log = toLog(from);
      for (let length = 1; length <= log.length; length++) {
        const prefix = log.slice(0, length);
        const found = after(...prefix).lookup('web', 'k')?.claim;
        assert.equal(found, holderOf(prefix));
      }
    }),
    { seed: 7, numRuns: 300 },
  );
});
