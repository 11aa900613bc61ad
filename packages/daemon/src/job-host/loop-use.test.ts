/*
 * Guards against a leader whose processor is used up without a line that says so: on two sites one host did
 * all that it could for minutes, and the log told only what was late.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';
import { createVirtualTime } from '@paddlewind/stand-ins';
import { pino } from 'pino';

import { LoopUse, USE_SAMPLE_INTERVAL_MS } from './loop-use.js';
import { PartTimes } from './part-times.js';
import { StageWaits } from './stage-waits.js';

/** A loop that is busy for given parts of its time, plans for half of these and collects garbage for a tenth. */
class SimulatedLoop {
  readonly lines: unknown[] = [];
  readonly use: LoopUse;
  private readonly time = createVirtualTime();
  private readonly times = new PartTimes(() => this.planned);
  private readonly waits = new StageWaits();
  private active: Millis = 0;
  private calls = 0;
  private planned: Millis = 0;

  constructor() {
    this.use = new LoopUse({
      clock: this.time.clock,
      schedule: this.time.schedule,
      log: pino(
        { base: null, timestamp: false },
        { write: text => this.lines.push(JSON.parse(text)) },
      ),
      times: this.times,
      waits: this.waits,
      activeMs: () => this.active,
      garbageMs: () => this.active / 10,
      calls: () => this.calls,
      turns: () => 2 * this.calls,
    });
    this.use.begin();
  }

  /** Plays a number of samples in which the loop is busy for `percent` of the time. */
  async play(samples: number, percent: number): Promise<void> {
    for (let at = 0; at < samples; at += 1) {
      const busyMs = (percent * USE_SAMPLE_INTERVAL_MS) / 100;
      this.active += busyMs;
      this.calls += 3;
      this.waits.note('send', busyMs);
      this.times.measure('planning', () => {
        this.planned += busyMs / 2;
      });
      await this.time.advance(USE_SAMPLE_INTERVAL_MS);
    }
  }
}

test('a second in which the loop is busy is logged with its parts', async () => {
  const loop = new SimulatedLoop();
  await loop.play(4, 10);
  await loop.play(4, 80);
  await loop.play(4, 45);
  loop.use.stop();
  await loop.play(8, 90);
  assert.deepEqual(loop.lines, [
    {
      level: 30,
      ms: 1_000,
      percent: 80,
      parts: { planning: 400 },
      garbageMs: 80,
      calls: 12,
      turns: 24,
      waits: { send: { count: 4, meanMs: 200, longestMs: 200 } },
      msg: 'daemon: the loop is busy',
    },
  ]);
});

test('the loop is saturated from nine tenths of a sample until it has time to spare', async () => {
  const loop = new SimulatedLoop();
  await loop.play(1, 80);
  assert.ok(!loop.use.isSaturated);
  await loop.play(1, 95);
  assert.ok(loop.use.isSaturated);
  await loop.play(1, 80);
  assert.ok(loop.use.isSaturated);
  await loop.play(1, 60);
  assert.ok(!loop.use.isSaturated);
});
