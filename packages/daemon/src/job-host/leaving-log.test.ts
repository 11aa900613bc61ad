import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Run, NotMovedReason } from '@paddlewind/domain/jobs';
import { pino } from 'pino';

import { LeavingLog } from './leaving-log.js';

/** Logs rounds in which runs on worker `w` stay for the given reasons; returns the contents of the lines. */
function linesOf(rounds: readonly (readonly NotMovedReason[])[]): unknown[] {
  const lines: unknown[] = [];
  const write = (line: string): void => {
    const { worker, why } = JSON.parse(line) as Record<string, unknown>;
    lines.push([worker, why]);
  };
  const leaving = new LeavingLog(pino({ level: 'info' }, { write }));
  for (const reasons of rounds) {
    const runs = reasons.map(why => [{ worker: 'w' } as Run, why] as const);
    leaving.logChanges(new Map(runs));
  }
  return lines;
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
