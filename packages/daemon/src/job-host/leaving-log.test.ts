import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Run, NotMovedReason } from '@paddlewind/domain/jobs';

import { captureLog } from './captured-log.fixture.test.js';
import { LeavingLog } from './leaving-log.js';

/** Logs rounds in which runs on worker `w` stay for the given reasons; returns the contents of the lines. */
function linesOf(rounds: readonly (readonly NotMovedReason[])[]): unknown[] {
  const { log, lines } = captureLog();
  const leaving = new LeavingLog(log);
  for (const reasons of rounds) {
    const runs = reasons.map(why => [{ worker: 'w' } as Run, why] as const);
    leaving.logChanges(new Map(runs));
  }
  return lines.map(({ worker, why }) => [worker, why]);
}

test('logs the number of long-running tasks that stay on a worker, by reason', () => {
  assert.deepEqual(linesOf([['no_room', 'stopping', 'no_room']]), [
    ['w', { no_room: 2, stopping: 1 }],
  ]);
});

test('logs again only after a change', () => {
  const full: NotMovedReason[] = ['no_room'];
  const rounds = [full, full, ['stopping'], ['stopping'], [], [], full];
  assert.equal(linesOf(rounds as NotMovedReason[][]).length, 3);
});
