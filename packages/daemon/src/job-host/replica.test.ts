import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobLog } from '@paddlewind/ports/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';

import { testContext } from './context.fixture.test.js';
import { Replica } from './replica.js';

const READ_MS = 300;

/** A replica whose reads take 300 ms and find nothing. */
class SlowReplica {
  readonly time = createVirtualTime();
  startedReads = 0;
  readsInFlight = 0;
  maxReadsInFlight = 0;
  readonly replica: Replica;

  constructor() {
    const { schedule } = this.time;
    const jobLog: JobLog = {
      append: () => Promise.resolve({ kind: 'refused', reason: 'read only' }),
      read: async (_stream, offset) => {
        this.startedReads += 1;
        this.readsInFlight += 1;
        this.maxReadsInFlight = Math.max(
          this.maxReadsInFlight,
          this.readsInFlight,
        );
        await new Promise<void>(resolve => {
          schedule(READ_MS, resolve);
        });
        this.readsInFlight -= 1;
        return { kind: 'records', records: [], offset, endOffset: 0 };
      },
    };
    const ctx = testContext(this.time);
    this.replica = new Replica(ctx, jobLog);
  }
}

for (const stream of ['inbox', 'journal'] as const) {
  test(`concurrent refreshes of the ${stream} share a read`, async () => {
    const fixture = new SlowReplica();
    void fixture.replica.refresh('journal');
    await fixture.time.advance(1_000);
    fixture.startedReads = 0;
    const refreshes = [1, 2, 3, 4, 5].map(() =>
      fixture.replica.refresh(stream),
    );
    await fixture.time.advance(1_000);
    assert.deepEqual(await Promise.all(refreshes), [
      true,
      true,
      true,
      true,
      true,
    ]);
    assert.equal(fixture.startedReads, 1);
  });

  test(`the ${stream} is read by one read at a time`, async () => {
    const fixture = new SlowReplica();
    const refreshes: Promise<boolean>[] = [];
    for (let at = 0; at < 10; at += 1) {
      refreshes.push(fixture.replica.refresh(stream));
      await fixture.time.advance(100);
    }
    await fixture.time.advance(2_000);
    assert.ok((await Promise.all(refreshes)).every(Boolean));
    assert.equal(fixture.maxReadsInFlight, 1);
  });
}
