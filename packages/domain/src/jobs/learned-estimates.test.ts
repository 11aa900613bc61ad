/**
 * Guards against new leaders that start without estimates. If leaders change every few seconds, through
 * restarts, losses or outages, while fillers interfere with serving tasks, each of them tries every pair of
 * images from scratch, and each try may put a serving task over its target for a second or two.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Interference } from './interference.js';
import { workerRuns, type JobsState } from './jobs-state.js';
import { MAX_LEARNED_ENTRIES } from './learned-estimates.js';
import { decodeJournal } from './record-rows.js';
import { createRunTimes } from './run-times.js';
import {
  applyRecord,
  startOn,
  stateOf,
  taskOf,
  testJob,
} from './test-support.js';

const CPU_MILLI = 10_000;
const SIZE = { cpuMilli: 1_000, memoryMiB: 1, accelerators: 0 };

function busyState(): JobsState {
  const state = stateOf(
    testJob('s', [{ lasting: true, tailTargetMs: 50, image: 's' }]),
    testJob('f', [{ filler: true, image: 'f', size: SIZE, tasks: 2 }]),
  );
  startOn(state, taskOf(state, 's', 0, 0), 'w');
  startOn(state, taskOf(state, 'f', 0, 0), 'w');
  return state;
}

/** Feeds a model readings that show a high pressure of the filler. */
function learnPressure(state: JobsState, model: Interference): void {
  const load = workerRuns(state, 'w');
  for (let report = 1; report <= 20; report += 1) {
    for (const { task, progress } of load.runs.values()) {
      assert.ok(progress);
      const { filler } = task.step.spec;
      const used = report % 2 === 0;
      const tail = used ? 40 : 15;
      progress.reading = filler ? Number(used) * SIZE.cpuMilli : tail;
    }
    model.learnFromReport(load, CPU_MILLI, report * 500);
  }
}

/** Returns the pressure that a model expects for the pair. */
function pressureOf(model: Interference): number {
  const { pressures } = model.learnedEstimates();
  return pressures.find(([pair]) => pair === 's/f')?.[1] ?? 0;
}

test('a new leader starts with the estimates of the previous one', () => {
  const state = busyState();
  const model = new Interference();
  learnPressure(state, model);
  const times = createRunTimes();
  times.recordRun(taskOf(state, 'f', 0, 0).step, 1_700);
  const estimates = {
    runTimes: times.learnedAverages(),
    ...model.learnedEstimates(),
  };
  applyRecord(state, { kind: 'learnt', learnt: estimates });
  const next = new Interference(state.learnedEstimates);
  assert.ok(pressureOf(model) > 2);
  assert.equal(pressureOf(next), pressureOf(model));
  const nextTimes = createRunTimes(state.learnedEstimates?.estimates.runTimes);
  const { step } = taskOf(state, 'f', 0, 1);
  assert.equal(nextTimes.expectedMs(step), times.expectedMs(step));
});

test('the number of recorded estimates is bounded', () => {
  const pressures = Array.from(
    { length: 3 * MAX_LEARNED_ENTRIES },
    (_, at) => [`s/${at}`, 1, 1] as const,
  );
  const estimates = { runTimes: [], pressures, lowTails: [] };
  const model = new Interference({ estimates, readAt: 0 });
  assert.equal(model.learnedEstimates().pressures.length, MAX_LEARNED_ENTRIES);
});

// Values that are not numbers were recorded as null, and each leader that read them failed when it recorded
// them again.
test('recorded estimates that are not numbers are ignored', () => {
  const row = [
    'learnt',
    {
      runTimes: [['q', null]],
      pressures: [
        ['s/f', null, 1],
        ['s/g', 2, null],
        ['s/h', 2, -1],
        ['s/i', 3, 1],
      ],
      lowTails: [['s', null]],
    },
  ];
  const bytes = new TextEncoder().encode(JSON.stringify(row));
  const record = decodeJournal(bytes);
  assert.ok(record !== undefined);
  const state = busyState();
  applyRecord(state, record);
  const model = new Interference(state.learnedEstimates);
  assert.deepEqual(model.learnedEstimates(), {
    pressures: [['s/i', 3, 1]],
    lowTails: [],
  });
  assert.deepEqual(
    createRunTimes(
      state.learnedEstimates?.estimates.runTimes,
    ).learnedAverages(),
    [],
  );
});
