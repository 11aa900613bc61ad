/*
 * Guards against a leader that starts ever fewer tasks because its processor is busy. It read the answers of
 * the hosts that send its starts late, took that for a queue on its link, and narrowed the window for starts
 * to a tenth, while most of the workers were free.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { applyInbox, emptyJobsState } from '@paddlewind/domain/jobs';
import type { PeerPort, StartOrder, WorkerPort } from '@paddlewind/ports/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';

import { testContext } from '../context.fixture.test.js';
import { SimulatedProcess } from '../simulated-process.fixture.test.js';
import { RelayedStarts } from './relayed-starts.js';

const ANSWER_MS = 5;
const HOLD_UP_MS = 250;
const ORDER: StartOrder = {
  task: { job: '00000000000000c1', occurrence: 0, step: 0, index: 1 },
  run: 1,
  payload: 'x'.repeat(4_000),
  leaseUntil: 60_000,
  fence: 9,
  checkpoint: '',
  ticket: undefined,
};
const SHARES = { payloads: 1, retries: 1, withoutRelays: 150_000 };

test('a leader that is held up does not narrow its window for starts', async () => {
  const time = createVirtualTime();
  const leader = new SimulatedProcess(time);
  const state = emptyJobsState();
  const offer = { kind: 'volunteer', host: 'r1', cores: 1 } as const;
  applyInbox(state, { ...offer, address: 'r1' });
  const identity = { process: 'p', clock: 0 };
  const peers: PeerPort = {
    append: () => Promise.resolve({ kind: 'unknown', reason: 'none' }),
    identify: () => Promise.resolve(identity),
    relay: (_address, { starts }, { onAccepted, onOutcome }) =>
      new Promise(resolve => {
        time.schedule(ANSWER_MS, () => {
          onAccepted(identity);
          starts.forEach((_start, at) => {
            const result = { kind: 'accepted', clock: 0 } as const;
            onOutcome(at, { kind: 'sent', result });
          });
          resolve({ kind: 'ended' });
        });
      }),
  };
  const { clock, schedule } = leader;
  const starts = new RelayedStarts({
    ctx: { ...testContext(time), clock, schedule },
    port: {} as WorkerPort,
    peers: leader.guard(peers),
    epoch: 64,
    state,
    shares: SHARES,
  });
  void starts.begin();
  await time.advance(100);
  const worker = { id: 'w', address: 'w' };
  const limits = { isWanted: () => true, sendBy: Infinity };
  void starts.send(worker, ORDER, limits);
  await time.advance(1_000);
  const before = starts.maxStarts;
  for (let round = 0; round < 5; round += 1) {
    void starts.send(worker, ORDER, limits);
    await time.advance(1);
    leader.freeze(HOLD_UP_MS);
    await time.advance(1_000);
  }
  assert.ok(starts.maxStarts >= before, `${starts.maxStarts} of ${before}`);
  assert.ok(before >= 100);
});
