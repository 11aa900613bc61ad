import assert from 'node:assert/strict';
import { test } from 'node:test';

import { RelayWindow } from './relay-window.js';

/** A tenth of what this link carries in a second is 100 starts. */
const BYTES_PER_S = 150_000;
const FAST_MS = 5;
const SLOW_MS = 400;

/** Returns a window after an answer without queueing. */
function windowAfterFastAnswer(): RelayWindow {
  const window = new RelayWindow(BYTES_PER_S);
  window.recordAccepted(0, FAST_MS, 0);
  return window;
}

test('the initial window occupies the link only briefly', () => {
  assert.equal(new RelayWindow(BYTES_PER_S).size, 100);
  assert.equal(new RelayWindow(1_000).size, 8);
  assert.equal(new RelayWindow(Infinity).size, 200);
});

// Otherwise starts that can't be accepted in time would be sent again, in addition to those that
// could.
test('the window shrinks when starts are accepted late, once per queue', () => {
  const window = windowAfterFastAnswer();
  window.recordAccepted(10, SLOW_MS, 1_000);
  assert.equal(window.size, 70);
  window.recordAccepted(10, SLOW_MS, 1_200);
  assert.equal(window.size, 70);
  window.recordLate(1_400);
  assert.equal(window.size, 49);
  assert.ok(window.isNarrow(1_500));
  assert.ok(!window.isNarrow(4_000));
});

test('the window never closes', () => {
  const window = windowAfterFastAnswer();
  for (let at = 1; at < 50; at += 1) {
    window.recordLate(at * 1_000);
  }
  assert.equal(window.size, 8);
});

test('the window grows back when starts are accepted promptly', () => {
  const window = windowAfterFastAnswer();
  window.recordLate(1_000);
  const narrow = window.size;
  window.recordAccepted(100, FAST_MS, 1_050);
  assert.equal(window.size, narrow + 10);
  window.recordAccepted(5_000, FAST_MS, 1_100);
  assert.equal(window.size, 200);
  assert.ok(!window.isNarrow(1_150));
});

// Otherwise the window would stay at its minimum on an idle link as long as one host of many is
// slow.
test('a single slow host does not indicate a queue on the link of the leader', () => {
  const window = windowAfterFastAnswer();
  for (let at = 100; at < 10_000; at += 100) {
    window.recordAccepted(5, FAST_MS, at);
    window.recordAccepted(5, SLOW_MS, at + 50);
    window.recordLate(at + 60);
  }
  assert.equal(window.size, 149);
});

// Hosts in another region always take longer; that does not indicate a queue.
test('a constantly high latency does not indicate a queue', () => {
  const window = new RelayWindow(BYTES_PER_S);
  for (let at = 0; at < 10; at += 1) {
    window.recordAccepted(10, SLOW_MS, at * 1_000);
  }
  assert.equal(window.size, 110);
});
