import assert from 'node:assert/strict';
import { test } from 'node:test';

import { RelayWindow } from './relay-window.js';

/** Of what such a link carries in a second, a tenth is 100 starts. */
const BYTES_PER_S = 150_000;
const QUICK_MS = 5;
const QUEUED_MS = 400;

/** A window that has seen an answer without a queue. */
function seenQuick(): RelayWindow {
  const window = new RelayWindow(BYTES_PER_S);
  window.recordAccepted(0, QUICK_MS, 0);
  return window;
}

test('the first window keeps the link busy for a moment only', () => {
  assert.equal(new RelayWindow(BYTES_PER_S).size, 100);
  assert.equal(new RelayWindow(1_000).size, 8);
  assert.equal(new RelayWindow(Infinity).size, 200);
});

// Else starts that can't be taken in time are sent again, beside those that could be.
test('the window shrinks with starts that are taken late, once for each queue', () => {
  const window = seenQuick();
  window.recordAccepted(10, QUEUED_MS, 1_000);
  assert.equal(window.size, 70);
  window.recordAccepted(10, QUEUED_MS, 1_200);
  assert.equal(window.size, 70);
  window.recordLate(1_400);
  assert.equal(window.size, 49);
  assert.ok(window.isNarrow(1_500));
  assert.ok(!window.isNarrow(4_000));
});

test('the window never closes', () => {
  const window = seenQuick();
  for (let at = 1; at < 50; at += 1) {
    window.recordLate(at * 1_000);
  }
  assert.equal(window.size, 8);
});

test('the window grows back with starts that are taken at once', () => {
  const window = seenQuick();
  window.recordLate(1_000);
  const narrow = window.size;
  window.recordAccepted(100, QUICK_MS, 1_050);
  assert.equal(window.size, narrow + 10);
  window.recordAccepted(5_000, QUICK_MS, 1_100);
  assert.equal(window.size, 200);
  assert.ok(!window.isNarrow(1_150));
});

// The window would else stand at its least for as long as one host of many is slow, on a link that is idle.
test('a host that is slow alone tells of no queue on the link of the leader', () => {
  const window = seenQuick();
  for (let at = 100; at < 10_000; at += 100) {
    window.recordAccepted(5, QUICK_MS, at);
    window.recordAccepted(5, QUEUED_MS, at + 50);
    window.recordLate(at + 60);
  }
  assert.equal(window.size, 149);
});

// Hosts of another region always take longer: that is no queue.
test('a way that is long tells of no queue', () => {
  const window = new RelayWindow(BYTES_PER_S);
  for (let at = 0; at < 10; at += 1) {
    window.recordAccepted(10, QUEUED_MS, at * 1_000);
  }
  assert.equal(window.size, 110);
});
