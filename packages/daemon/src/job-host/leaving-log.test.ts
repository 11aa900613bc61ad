import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Run, StayReason } from '@paddlewind/domain/jobs';
import { pino } from 'pino';

import { LeavingLog } from './leaving-log.js';

/** Tells rounds in which runs on worker `w` stay for these reasons; returns what the lines say. */
function linesOf(rounds: readonly (readonly StayReason[])[]): unknown[] {
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

test('tells how many lasting tasks stay on a worker, by why they do', () => {
  assert.deepEqual(linesOf([['no_room', 'stopping', 'no_room']]), [
    ['w', { no_room: 2, stopping: 1 }],
  ]);
});

test('tells so again only when it changes', () => {
  const full: StayReason[] = ['no_room'];
  const rounds = [full, full, ['stopping'], ['stopping'], [], [], full];
  assert.equal(linesOf(rounds as StayReason[][]).length, 3);
});
