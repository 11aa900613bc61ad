import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  applyInbox,
  applyJournal,
  Interference,
  WorkerHealth,
} from '@paddlewind/domain/jobs';

import {
  openLink,
  ORDERED_WORKER,
  StubWorker,
} from './stub-worker.fixture.test.js';
import { DecisionPace } from './decision-pace.js';
import { RunSupervisor } from './run-supervisor.js';
import { jobOf } from './simulation.fixture.test.js';

/** Opens a run of a serving task beside those of `stub`. */
function serve(stub: StubWorker): void {
  const id = '00000000000000c2';
  const step = { tasks: 1, after: [], lasting: true, tailTargetMs: 50 };
  const script = { runMs: 60_000, failures: 0 };
  const job = jobOf(id, [{ ...step, image: 's' }], script);
  applyInbox(stub.state, { kind: 'submit', job, atWall: 0 });
  const task = { job: id, occurrence: 0, step: 0, index: 0 };
  const worker = ORDERED_WORKER.id;
  applyJournal(stub.state, { kind: 'start', task, run: 1, worker });
}

test('an unanswered limit is ordered again with the next report', async () => {
  const stub = new StubWorker(1, { filler: true, image: 'f' });
  const link = await openLink(stub);
  const supervisor = new RunSupervisor({
    ctx: stub.ctx,
    pace: new DecisionPace(stub.ctx),
    state: stub.state,
    interference: new Interference(),
    health: new WorkerHealth(),
    linkTo: () => link,
    leavingSince: () => undefined,
    isProxied: () => false,
  });
  const run = stub.open(0);
  link.start(run, stub.time.clock());
  await stub.time.advance(100);
  serve(stub);
  assert.ok(run.progress);
  // A share that the model never returns.
  run.progress.allowedPercent = 1;
  const limits: number[] = [];
  for (const kind of ['unknown', 'unknown', 'accepted', 'accepted'] as const) {
    stub.answer =
      kind === 'unknown'
        ? { kind, reason: 'timeout' }
        : { kind, clock: stub.time.clock() };
    supervisor.throttleFillers(link);
    await stub.time.advance(100);
    limits.push(stub.sent.filter(order => order.startsWith('throttle')).length);
  }
  assert.deepEqual(limits, [1, 2, 3, 3]);
});
