/* Guards against refused callers that all return at once, or later than they can be answered. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { evenSpread, logReturnMs, ReturnTimes } from './return-times.js';

const FAR = 1e9;

function callerOf(job: string, more: object = {}) {
  const terms = { queue: 'q', soonestMs: 4_000, gapMs: 250, deadline: FAR };
  return { job, ...terms, ...more };
}

test('callers return at the rate at which work is completed, the first refused first', () => {
  const times = new ReturnTimes();
  const returns = Array.from({ length: 40 }, (_, at) =>
    times.returnMs(callerOf(`j${at}`), 0),
  );
  assert.equal(returns[0], 4_000);
  assert.deepEqual(
    returns,
    [...returns].sort((a, b) => a - b),
  );
  const perSecond = new Map<number, number>();
  for (const ms of returns.slice(1)) {
    assert.equal(ms % 1_000, 0);
    perSecond.set(ms, (perSecond.get(ms) ?? 0) + 1);
  }
  assert.ok([...perSecond.values()].every(count => count <= 4));
});

test('each queue has slots of its own', () => {
  const times = new ReturnTimes();
  for (let at = 0; at < 40; at += 1) {
    times.returnMs(callerOf(`j${at}`), 0);
  }
  const other = callerOf('k', { queue: 'other' });
  assert.equal(times.returnMs(other, 0), 4_000);
});

test('a job that is refused again keeps its slot', () => {
  const times = new ReturnTimes();
  assert.equal(times.returnMs(callerOf('a'), 0), 4_000);
  for (let at = 0; at < 100; at += 1) {
    times.returnMs(callerOf(`j${at}`), 500);
  }
  assert.equal(times.returnMs(callerOf('a', { soonestMs: 1 }), 1_000), 3_000);
  // After its slot it returns as soon as there may be capacity, ahead of all that were refused later.
  const again = times.returnMs(callerOf('a', { soonestMs: 2_000 }), 5_000);
  assert.equal(again, 2_000);
  const later = times.returnMs(callerOf('z', { soonestMs: 2_000 }), 5_000);
  assert.ok(later > 20_000);
});

test('the slots of 2,000 jobs are remembered', () => {
  const times = new ReturnTimes();
  const first = { soonestMs: 1_000, gapMs: 5_000 };
  times.returnMs(callerOf('a', first), 0);
  assert.equal(times.returnMs(callerOf('b', first), 0), 6_000);
  for (let at = 0; at < 1_998; at += 1) {
    times.returnMs(callerOf(`j${at}`, { gapMs: 1 }), 0);
  }
  assert.equal(times.returnMs(callerOf('b', { soonestMs: 1 }), 0), 6_000);
  times.returnMs(callerOf('one more', { gapMs: 1 }), 0);
  times.returnMs(callerOf('and another', { gapMs: 1 }), 0);
  assert.ok(times.returnMs(callerOf('b', { soonestMs: 1 }), 0) > 6_000);
});

test('a caller returns before its deadline where a second is left', () => {
  const times = new ReturnTimes();
  const until = (deadline: number) => callerOf(`${deadline}`, { deadline });
  assert.equal(times.returnMs(until(3_000), 0), 2_000);
  assert.equal(times.returnMs(until(1_300), 0), 1_000);
  assert.equal(times.returnMs(until(1_299), 0), 4_000);
});

// Otherwise callers with short deadlines push the slots of all others ahead for good.
test('a slot after the deadline is left to the next caller', () => {
  const times = new ReturnTimes();
  for (let at = 0; at < 100; at += 1) {
    times.returnMs(callerOf(`j${at}`, { deadline: 3_000 }), 0);
  }
  assert.equal(times.returnMs(callerOf('a'), 0), 4_000);
});

// Callers' estimates may be of any size, also of earlier jobs that make up the backlog.
test('infinite times are bounded and do not affect later callers', () => {
  const times = new ReturnTimes();
  const absurd = { soonestMs: Infinity, gapMs: Infinity, deadline: Infinity };
  assert.equal(times.returnMs(callerOf('a', absurd), 0), 3_600_000);
  const short = { ...absurd, deadline: 500 };
  assert.equal(times.returnMs(callerOf('b', short), 0), 3_600_000);
  assert.equal(times.returnMs(callerOf('c'), 0), 4_000);
});

test('while the log is away callers return later and spread', () => {
  const of = (awayMs: number, random: number, deadline = FAR): number =>
    logReturnMs(awayMs, () => random, 0, deadline);
  assert.equal(of(0, 0.5), 1_000);
  assert.equal(of(3_000, 0), 3_000);
  assert.equal(of(3_000, 0.99), 4_000);
  assert.equal(of(60_000, 0), 4_000);
  assert.equal(of(60_000, 0.99), 5_000);
  assert.equal(of(60_000, 0.99, 3_000), 2_000);
});

// Hosts are cut off together, and so are the callers of each.
test('times are spread evenly at one host, and differently at others', () => {
  const spread = evenSpread('h1');
  const numbers = Array.from({ length: 100 }, spread);
  for (let part = 0; part < 10; part += 1) {
    const within = numbers.filter(each => Math.floor(10 * each) === part);
    assert.ok(within.length >= 8 && within.length <= 12);
  }
  const firsts = Array.from({ length: 29 }, (_, at) => evenSpread(`h${at}`)());
  const quarters = new Set(firsts.map(first => Math.floor(4 * first)));
  assert.equal(quarters.size, 4);
});
