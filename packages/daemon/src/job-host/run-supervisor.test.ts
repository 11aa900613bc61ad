import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  applyInbox,
  applyJournal,
  Interference,
  WorkerHealth,
} from '@paddlewind/domain/jobs';

import { linkTo, ORDERED_WORKER, OrderedRuns } from './orders.fixture.test.js';
import { RunSupervisor } from './run-supervisor.js';
import { jobOf } from './simulation.fixture.test.js';

/** Opens a run of a serving task beside those of `site`. */
function serve(site: OrderedRuns): void {
  const id = '00000000000000c2';
  const step = { tasks: 1, after: [], lasting: true, tailTargetMs: 50 };
  const script = { runMs: 60_000, failures: 0 };
  const job = jobOf(id, [{ ...step, image: 's' }], script);
  applyInbox(site.state, { kind: 'submit', job, atWall: 0 });
  const task = { job: id, occurrence: 0, step: 0, index: 0 };
  const worker = ORDERED_WORKER.id;
  applyJournal(site.state, { kind: 'start', task, run: 1, worker });
}

test('a limit that was not answered is ordered again with the next report', async () => {
  const site = new OrderedRuns(1, { filler: true, image: 'f' });
  const link = await linkTo(site);
  const supervisor = new RunSupervisor({
    ctx: site.ctx,
    state: site.state,
    interference: new Interference(),
    health: new WorkerHealth(),
    linkTo: () => link,
    leavingSince: () => undefined,
  });
  const run = site.open(0);
  link.start(run, site.time.clock());
  await site.time.advance(100);
  serve(site);
  assert.ok(run.progress);
  // A share that the model does not give.
  run.progress.allowedPercent = 1;
  const limits: number[] = [];
  for (const kind of ['unknown', 'unknown', 'accepted', 'accepted'] as const) {
    site.answer =
      kind === 'unknown'
        ? { kind, reason: 'timeout' }
        : { kind, clock: site.time.clock() };
    supervisor.limitFillers(link);
    await site.time.advance(100);
    limits.push(site.sent.filter(order => order.startsWith('throttle')).length);
  }
  assert.deepEqual(limits, [1, 2, 3, 3]);
});
