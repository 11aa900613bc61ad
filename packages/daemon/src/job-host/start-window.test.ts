import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Run } from '@paddlewind/domain/jobs';

import { StubWorker } from './stub-worker.fixture.test.js';
import { StartWindow } from './start-window.js';

const MAX_STARTS = 200;

/** Uses up all starts that a window has available. */
function fill(window: StartWindow, stub: StubWorker, from: number): Run[] {
  const runs = Array.from({ length: window.available() }, (_, at) =>
    stub.open(from + at),
  );
  runs.forEach(run => {
    window.add(run);
  });
  return runs;
}

test('starts in flight occupy the window until their outcome is known', () => {
  const window = new StartWindow();
  const runs = fill(window, new StubWorker(MAX_STARTS), 0);
  assert.equal(runs.length, MAX_STARTS);
  assert.equal(window.available(), 0);
  runs.slice(0, 50).forEach(run => {
    window.noteStarted(run);
  });
  runs.slice(50, 60).forEach(run => {
    window.noteEnded(run);
  });
  assert.equal(window.available(), 60);
});

test('the window shrinks while workers stop answering, but never to zero', () => {
  const window = new StartWindow();
  for (let now = 0; now < 60_000; now += 600) {
    const before = window.available();
    window.noteCongestion(now);
    assert.ok(window.available() < before || window.available() === 4);
  }
  assert.equal(window.available(), 4);
});

test('workers that are lost at the same moment shrink the window once', () => {
  const window = new StartWindow();
  for (let count = 0; count < 100; count += 1) {
    window.noteCongestion(1_000 + count);
  }
  assert.equal(window.available(), 140);
});

test('the window grows again with confirmed starts', () => {
  const window = new StartWindow();
  const stub = new StubWorker(1_000);
  for (let now = 0; now < 60_000; now += 600) {
    window.noteCongestion(now);
  }
  let opened = 0;
  for (let round = 0; round < 6; round += 1) {
    const runs = fill(window, stub, opened);
    opened += runs.length;
    runs.forEach(run => {
      window.noteStarted(run);
    });
  }
  assert.equal(window.available(), MAX_STARTS);
});

// With proxies 200 starts in flight held up 300 to 500 others that had a place.
test('a window is part of a maximum that may change', () => {
  let maxStarts = MAX_STARTS;
  const window = new StartWindow(
    () => Infinity,
    () => maxStarts,
  );
  window.noteCongestion(0);
  assert.equal(window.available(), 140);
  maxStarts = 500;
  assert.equal(window.available(), 350);
});
