import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createVirtualTime } from '@paddlewind/stand-ins';

import { coalesce } from './coalesce.js';

const WORK_MS = 10;

/** Shared work that takes 10 ms and counts its runs. */
class SharedWork {
  readonly time = createVirtualTime();
  startCount = 0;
  running = 0;
  maxRunning = 0;
  /** Numbers of the runs that fail. */
  readonly failing = new Set<number>();
  readonly ask = coalesce(() => this.work());

  private async work(): Promise<number> {
    this.startCount += 1;
    const number = this.startCount;
    this.running += 1;
    this.maxRunning = Math.max(this.maxRunning, this.running);
    await new Promise<void>(resolve => {
      this.time.schedule(WORK_MS, resolve);
    });
    this.running -= 1;
    if (this.failing.has(number)) {
      throw new Error(`run ${number} failed`);
    }
    return number;
  }
}

test('concurrent callers share one run', async () => {
  const shared = new SharedWork();
  const asked = [shared.ask(), shared.ask(), shared.ask()];
  await shared.time.advance(100);
  assert.deepEqual(await Promise.all(asked), [1, 1, 1]);
  assert.equal(shared.startCount, 1);
});

test('callers during a run share the next run', async () => {
  const shared = new SharedWork();
  const first = shared.ask();
  await shared.time.advance(3);
  const later = [shared.ask()];
  await shared.time.advance(3);
  later.push(shared.ask(), shared.ask());
  await shared.time.advance(100);
  assert.equal(await first, 1);
  assert.deepEqual(await Promise.all(later), [2, 2, 2]);
  assert.equal(shared.startCount, 2);
});

test('runs do not overlap', async () => {
  const shared = new SharedWork();
  const asked: Promise<number>[] = [];
  for (let at = 0; at < 40; at += 1) {
    asked.push(shared.ask());
    await shared.time.advance(1);
  }
  await shared.time.advance(100);
  await Promise.all(asked);
  assert.equal(shared.maxRunning, 1);
  assert.ok(shared.startCount <= 6, `${shared.startCount} runs in 40 ms`);
});

test('no caller gets the result of a run that started before its call', async () => {
  const shared = new SharedWork();
  for (let at = 0; at < 40; at += 1) {
    const before = shared.startCount;
    const asked = shared.ask();
    void asked.then(number => {
      assert.ok(number > before, `run ${number}, ${before} had started`);
    });
    await shared.time.advance(1);
  }
  await shared.time.advance(100);
});

test('work runs again for a call after its end', async () => {
  const shared = new SharedWork();
  for (const number of [1, 2, 3]) {
    const asked = shared.ask();
    await shared.time.advance(100);
    assert.equal(await asked, number);
  }
});

test('a failure reaches all callers of that run, and the next one runs again', async () => {
  const shared = new SharedWork();
  shared.failing.add(1);
  const asked = Promise.allSettled([shared.ask(), shared.ask()]);
  await shared.time.advance(100);
  const outcomes = (await asked).map(({ status }) => status);
  assert.deepEqual(outcomes, ['rejected', 'rejected']);
  const again = shared.ask();
  await shared.time.advance(100);
  assert.equal(await again, 2);
});

test('callers that wait for the next run do not see a failure of the current one', async () => {
  const shared = new SharedWork();
  shared.failing.add(1);
  const first = Promise.allSettled([shared.ask()]);
  await shared.time.advance(3);
  const next = Promise.allSettled([shared.ask(), shared.ask()]);
  await shared.time.advance(100);
  assert.equal((await first)[0].status, 'rejected');
  assert.deepEqual(await next, [
    { status: 'fulfilled', value: 2 },
    { status: 'fulfilled', value: 2 },
  ]);
});

test('work runs again after a failed run while others waited for the next one', async () => {
  const shared = new SharedWork();
  shared.failing.add(1);
  const first = Promise.allSettled([shared.ask()]);
  await shared.time.advance(3);
  const next = Promise.allSettled([shared.ask()]);
  await shared.time.advance(100);
  await Promise.all([first, next]);
  const startsBefore = shared.startCount;
  const [again] = await Promise.all([
    Promise.allSettled([shared.ask()]),
    shared.time.advance(100),
  ]);
  assert.deepEqual(again, [{ status: 'fulfilled', value: startsBefore + 1 }]);
});
