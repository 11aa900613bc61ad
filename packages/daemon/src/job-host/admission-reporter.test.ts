/** Guards against a forecast of capacity in deployments where nothing is refused by it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  applyInbox,
  AdviceTickets,
  createRunTimes,
  emptyJobsState,
  Interference,
  NO_LIMITS,
  type PlanInput,
} from '@paddlewind/domain/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';

import { AdmissionReporter } from './admission-reporter.js';
import { testContext } from './context.fixture.test.js';
import { EvacuatedZones } from './evacuated-zones.js';
import { jobOf } from './simulation.fixture.test.js';

/** Returns a leader's reporter after 3 s in which a job waits, half of whose tasks are completed. */
async function reporterAfterWaiting(
  admitsByCapacity: boolean,
  isLimited = false,
): Promise<AdmissionReporter> {
  const time = createVirtualTime();
  const ctx = testContext(time);
  const state = emptyJobsState();
  const job = jobOf('00000000000000a1', [{ tasks: 20, after: [] }], {
    runMs: 100,
    failures: 0,
  });
  applyInbox(state, { kind: 'submit', job, atWall: 0 });
  const reporter = new AdmissionReporter({
    clock: time.clock,
    state,
    evacuatedZones: new EvacuatedZones(ctx, undefined),
    registeredWorkers: () => [],
    admitsByCapacity,
  });
  const [step] = state.jobs.get(job.id)?.occurrences.get(0)?.steps ?? [];
  for (const task of step?.tasks.slice(10) ?? []) {
    const now = time.clock();
    reporter.noteRound(inputOf(state, now), isLimited);
    const run = { task } as Parameters<typeof reporter.noteRunEnding>[0];
    reporter.noteRunEnding(run, 'done');
    reporter.noteRunEnding(run, 'lost');
    await time.advance(300);
  }
  return reporter;
}

function inputOf(state: PlanInput['state'], now: number): PlanInput {
  return {
    state,
    workers: [],
    times: createRunTimes(),
    interference: new Interference(),
    movingTasks: [],
    advice: new AdviceTickets(),
    time: { now, nowWall: now },
    leadsSince: 0,
    maxStarts: 1,
    isLinkBusy: false,
    moveCosts: undefined,
  };
}

test('the forecast is reported where hosts admit by capacity, without runs that are lost', async () => {
  const reporter = await reporterAfterWaiting(true);
  const [row] = reporter.limits().rooms;
  assert.ok(row !== undefined);
  assert.ok(row.rate > 2_000 && row.rate < 4_000, `rate ${row.rate}`);
  assert.deepEqual(reporter.rooms(), [row]);
});

test('nothing is forecast elsewhere', async () => {
  const reporter = await reporterAfterWaiting(false);
  assert.deepEqual(reporter.limits(), NO_LIMITS);
  assert.equal(reporter.rooms(), undefined);
});

// Guards against jobs refused for want of capacity while a slow leader leaves workers free: after a leader had
// stalled for 3 s, 14 jobs were refused by the rate of completions in that time.
test('rounds in which the leader limits the starts are not learned from', async () => {
  const reporter = await reporterAfterWaiting(true, true);
  assert.deepEqual(reporter.limits().rooms, []);
});
