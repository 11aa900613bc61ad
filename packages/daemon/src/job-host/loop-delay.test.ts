import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { test } from 'node:test';

import type { Millis } from '@paddlewind/domain';
import { pino } from 'pino';

import { LOOP_SAMPLE_INTERVAL_MS, monitorEventLoop } from './loop-delay.js';

interface Line {
  readonly msg: string;
  readonly delayMs: Millis;
  readonly untold: number;
}

/** An event loop whose timers fire with a given delay. */
class SimulatedLoop {
  now = 0;
  readonly delays: Millis[] = [];
  readonly lines: Line[] = [];
  readonly stop: () => void;
  private task: (() => void) | undefined;
  private dueAt = 0;

  constructor() {
    this.stop = monitorEventLoop({
      clock: () => this.now,
      schedule: (delay, task) => {
        this.task = task;
        this.dueAt = this.now + delay;
        return () => {
          this.task = undefined;
        };
      },
      log: pino(
        {},
        {
          write: text => {
            this.lines.push(JSON.parse(text) as Line);
          },
        },
      ),
      onSample: delay => {
        this.delays.push(delay);
      },
    });
  }

  /** Fires the pending timer `delay` milliseconds after it was due. */
  fire(delay: Millis): void {
    this.now = this.dueAt + delay;
    this.task?.();
  }

  get hasTimer(): boolean {
    return this.task !== undefined;
  }
}

test('each sample is the delay of its timer', () => {
  const loop = new SimulatedLoop();
  for (const delay of [0, 3, 700, 0]) {
    loop.fire(delay);
  }
  assert.deepEqual(loop.delays, [0, 3, 700, 0]);
  assert.equal(loop.now, 4 * LOOP_SAMPLE_INTERVAL_MS + 703);
});

test('a timer that fires early has no delay', () => {
  const loop = new SimulatedLoop();
  loop.fire(-0.5);
  assert.deepEqual(loop.delays, [0]);
});

test('a loop that is blocked for over half a second is logged with the delay', () => {
  const loop = new SimulatedLoop();
  loop.fire(500);
  assert.equal(loop.lines.length, 0);
  loop.fire(501);
  assert.equal(loop.lines.length, 1);
  assert.equal(loop.lines[0]?.msg, 'daemon: the loop was held up');
  assert.equal(loop.lines[0].delayMs, 501);
  assert.equal(loop.lines[0].untold, 0);
});

test('warnings are logged at most once a second with the number of suppressed ones', () => {
  const loop = new SimulatedLoop();
  for (let sample = 0; sample < 100; sample += 1) {
    loop.fire(501);
  }
  const suppressed = loop.lines.reduce((sum, line) => sum + line.untold, 0);
  assert.equal(loop.lines.length, 50);
  assert.equal(suppressed, 49);
  assert.equal(loop.delays.length, 100);
});

test('a stopped monitor takes no more samples', () => {
  const loop = new SimulatedLoop();
  assert.equal(loop.hasTimer, true);
  loop.stop();
  assert.equal(loop.hasTimer, false);
});

test('the monitor does not keep the process alive', () => {
  const module = new URL('./loop-delay.js', import.meta.url).href;
  const script = `
    const { scheduleInBackground } = await import(${JSON.stringify(module)});
    scheduleInBackground(2 ** 30, () => undefined);
  `;
  const ended = spawnSync(
    process.execPath,
    ['--input-type=module', '--eval', script],
    { timeout: 60_000 },
  );
  assert.equal(ended.status, 0);
});
