import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createVirtualTime } from '@paddlewind/stand-ins';

import { testContext } from '../context.fixture.test.js';
import { AnswerTimer } from './answer-timer.js';

const LATE_AFTER_MS = 150;

/** A timer on a process whose timers fire only when the test says so, and the time that has passed. */
function heldUpTimer(): {
  timer: AnswerTimer;
  pass: (span: number) => void;
  fireTimers: () => void;
} {
  let now = 1_000;
  let due: (() => void)[] = [];
  const ctx = {
    ...testContext(createVirtualTime()),
    clock: () => now,
    schedule: (_delay: number, task: () => void) => {
      due.push(task);
      return () => {
        due = due.filter(other => other !== task);
      };
    },
  };
  return {
    timer: new AnswerTimer(ctx, LATE_AFTER_MS),
    pass: span => {
      now += span;
    },
    fireTimers: () => {
      const fired = due;
      due = [];
      fired.forEach(task => {
        task();
      });
    },
  };
}

test('an answer in time is timed exactly', () => {
  const { timer, pass } = heldUpTimer();
  pass(7);
  assert.equal(timer.stop(), 7);
});

test('an answer that is missing although all that arrived was handled is late', () => {
  const { timer, pass, fireTimers } = heldUpTimer();
  pass(400);
  fireTimers();
  fireTimers();
  assert.equal(timer.stop(), 400);
});

test('an answer that arrived while this process was held up is not late', () => {
  const { timer, pass, fireTimers } = heldUpTimer();
  pass(400);
  fireTimers();
  assert.equal(timer.stop(), LATE_AFTER_MS);
});
