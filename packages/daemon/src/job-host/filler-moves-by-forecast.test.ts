/**
 * Guards against moves of slowed fillers that cost more than they gain, and against moves whose reason the log does
 * not show.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  AdviceTickets,
  createRunTimes,
  Interference,
  WorkerHealth,
  type LoadPeriod,
  type MoveCosts,
  type PlanInput,
} from '@paddlewind/domain/jobs';

import { captureLog, type LogLine } from './captured-log.fixture.test.js';
import {
  openLink,
  ORDERED_WORKER,
  StubWorker,
} from './stub-worker.fixture.test.js';
import { DecisionPace } from './decision-pace.js';
import { RunSupervisor } from './run-supervisor.js';
import type { WorkerLink } from './worker-link.js';

/** Returns a supervisor of the stub worker's runs, and the lines that it logs. */
function createSupervisor(
  stub: StubWorker,
  interference: Interference,
  link?: WorkerLink,
): {
  readonly supervisor: RunSupervisor;
  readonly lines: readonly LogLine[];
} {
  const { log, lines } = captureLog();
  const supervisor = new RunSupervisor({
    pace: new DecisionPace(stub.ctx),
    ctx: { ...stub.ctx, log },
    state: stub.state,
    interference,
    health: new WorkerHealth(),
    linkTo: () => link,
    leavingSince: () => undefined,
    isProxied: () => false,
  });
  return { supervisor, lines };
}

/** Slows a filler to `percent` of its speed for 2 s beside a free worker; returns what was logged and sent. */
async function moveSlowed(
  percent: number,
  moveCosts: MoveCosts | undefined,
): Promise<{ lines: readonly LogLine[]; sent: string[] }> {
  const stub = new StubWorker(1, { filler: true, image: 'f' });
  const link = await openLink(stub);
  const interference = new Interference();
  const { supervisor, lines } = createSupervisor(stub, interference, link);
  const run = stub.open(0);
  link.start(run, stub.time.clock());
  await stub.time.advance(100);
  assert.ok(run.progress);
  run.progress.allowedPercent = percent;
  run.progress.allowedSince = stub.time.clock();
  await stub.time.advance(2_000);
  const now = stub.time.clock();
  const free = { ...ORDERED_WORKER, id: 'free', address: 'free' };
  const input: PlanInput = {
    state: stub.state,
    workers: [{ info: free, trusted: true }],
    times: createRunTimes(),
    interference,
    advice: new AdviceTickets(),
    time: { now, nowWall: now },
    leadsSince: 0,
    maxStarts: 200,
    isLinkBusy: false,
    moveCosts,
    movingTasks: [],
  };
  supervisor.stopSlowedFillers(input);
  await stub.time.advance(100);
  return { lines, sent: stub.sent };
}

const MOVED = 'leader: a run is slowed here and moves';

/** A model that has a period while its forecast is used. */
class PeriodicInterference extends Interference {
  isUsed = false;

  override useForecast(isUsed: boolean): void {
    this.isUsed = isUsed;
  }

  override get loadPeriod(): LoadPeriod | undefined {
    return this.isUsed ? { periodMs: 10_000, explained: 0.9 } : undefined;
  }
}

// Samples taken or forecasts used elsewhere would change the decisions of other deployments.
test('loads are forecast only while move costs are known', () => {
  const stub = new StubWorker(1, {});
  const interference = new PeriodicInterference();
  const { supervisor, lines } = createSupervisor(stub, interference);
  const costs = { stopMs: 200, restoreMs: 100 };
  const used = [undefined, costs, costs, undefined].map(moveCosts => {
    supervisor.updateLoadForecast({ interference, moveCosts });
    return interference.isUsed;
  });
  assert.deepEqual(used, [false, true, true, false]);
  assert.deepEqual(
    lines.map(({ msg }) => msg),
    ['leader: loads have a period', 'leader: loads have no period any more'],
  );
});

test('the line of a move names the better worker and the expected gain', async () => {
  const costs = { stopMs: 200, restoreMs: 100 };
  const { lines, sent } = await moveSlowed(20, costs);
  const moved = lines.find(({ msg }) => msg === MOVED);
  assert.equal(moved?.better, 'free');
  assert.equal(moved.allowed, 20);
  assert.ok(Number(moved.gainMs) > 0);
  assert.ok(sent.includes('stop 0#1'));
});

test('a move that costs more than it gains is not ordered', async () => {
  const costs = { stopMs: 600_000, restoreMs: 100 };
  const { lines, sent } = await moveSlowed(20, costs);
  assert.ok(!lines.some(({ msg }) => msg === MOVED));
  assert.ok(!sent.includes('stop 0#1'));
});

test('without move costs the limit alone decides, and no gain is logged', async () => {
  const slow = await moveSlowed(40, undefined);
  const moved = slow.lines.find(({ msg }) => msg === MOVED);
  assert.equal(moved?.better, 'free');
  assert.ok(!('gainMs' in moved));
  const faster = await moveSlowed(50, undefined);
  assert.ok(!faster.sent.includes('stop 0#1'));
});
