import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createVirtualTime } from '@paddlewind/stand-ins';

import { coalesce } from './coalesce.js';

const WORK_MS = 10;

/** Work that takes 10 ms, counts how often it began, and is shared by all who ask. */
class SharedWork {
  readonly time = createVirtualTime();
  begun = 0;
  underWay = 0;
  mostUnderWay = 0;
  /** Numbers of the runs that fail. */
  readonly failing = new Set<number>();
  readonly ask = coalesce(() => this.work());

  private async work(): Promise<number> {
    this.begun += 1;
    const number = this.begun;
    this.underWay += 1;
    this.mostUnderWay = Math.max(this.mostUnderWay, this.underWay);
    await new Promise<void>(resolve => {
      this.time.schedule(WORK_MS, resolve);
    });
    this.underWay -= 1;
    if (this.failing.has(number)) {
      throw new Error(`run ${number} failed`);
    }
    return number;
  }
}

test('all who ask at the same time share one run', async () => {
  const shared = new SharedWork();
  const asked = [shared.ask(), shared.ask(), shared.ask()];
  await shared.time.advance(100);
  assert.deepEqual(await Promise.all(asked), [1, 1, 1]);
  assert.equal(shared.begun, 1);
});

test('all who ask while a run is under way share the next one', async () => {
  const shared = new SharedWork();
  const first = shared.ask();
  await shared.time.advance(3);
  const later = [shared.ask()];
  await shared.time.advance(3);
  later.push(shared.ask(), shared.ask());
  await shared.time.advance(100);
  assert.equal(await first, 1);
  assert.deepEqual(await Promise.all(later), [2, 2, 2]);
  assert.equal(shared.begun, 2);
});

test('runs go one at a time', async () => {
  const shared = new SharedWork();
  const asked: Promise<number>[] = [];
  for (let at = 0; at < 40; at += 1) {
    asked.push(shared.ask());
    await shared.time.advance(1);
  }
  await shared.time.advance(100);
  await Promise.all(asked);
  assert.equal(shared.mostUnderWay, 1);
  assert.ok(shared.begun <= 6, `${shared.begun} runs in 40 ms`);
});

test('no caller gets the answer of a run that began before it asked', async () => {
  const shared = new SharedWork();
  for (let at = 0; at < 40; at += 1) {
    const before = shared.begun;
    const asked = shared.ask();
    void asked.then(number => {
      assert.ok(number > before, `run ${number}, ${before} had begun`);
    });
    await shared.time.advance(1);
  }
  await shared.time.advance(100);
});

test('work runs again for who asks after its end', async () => {
  const shared = new SharedWork();
  for (const number of [1, 2, 3]) {
    const asked = shared.ask();
    await shared.time.advance(100);
    assert.equal(await asked, number);
  }
});

test('a failure reaches all who share the run, and the next one runs again', async () => {
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

test('who waits for the next run is not told that this one failed', async () => {
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

test('work runs again after a run that failed while others waited for the next', async () => {
  const shared = new SharedWork();
  shared.failing.add(1);
  const first = Promise.allSettled([shared.ask()]);
  await shared.time.advance(3);
  const next = Promise.allSettled([shared.ask()]);
  await shared.time.advance(100);
  await Promise.all([first, next]);
  const begun = shared.begun;
  const [again] = await Promise.all([
    Promise.allSettled([shared.ask()]),
    shared.time.advance(100),
  ]);
  assert.deepEqual(again, [{ status: 'fulfilled', value: begun + 1 }]);
});
