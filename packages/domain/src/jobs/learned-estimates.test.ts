/**
 * Guards against new leaders that start without estimates. If leaders change every few seconds, through
 * restarts, losses or outages, while fillers interfere with serving tasks, each of them tries every pair of
 * images from scratch, and each try may put a serving task over its target for a second or two.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Interference } from './interference.js';
import { workerRuns, type JobsState } from './jobs-state.js';
import {
  MAX_LEARNED_ENTRIES,
  MAX_LEARNED_QUEUES,
} from './learned-estimates.js';
import { decodeJournal, encodeRecord } from './record-rows.js';
import { createRunTimeDistributions } from './run-time-distributions.js';
import { createRunTimes } from './run-times.js';
import {
  applyRecord,
  startOn,
  stateOf,
  taskOf,
  testJob,
} from './test-support.js';

const NO_ESTIMATES = { runTimes: [], pressures: [], lowTails: [] };
/** Largest record that the platform's log takes. */
const MAX_RECORD_BYTES = 262_144;
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

test('a new leader starts with the distributions of the previous one', () => {
  const state = busyState();
  const { step } = taskOf(state, 'f', 0, 0);
  const times = createRunTimeDistributions();
  times.recordRun(step, 1_700);
  times.recordRun(step, 1_900);
  const distributions = times.learnedDistributions();
  assert.equal(distributions.queues[0]?.[1], 1);
  applyRecord(state, {
    kind: 'learnt',
    learnt: { ...NO_ESTIMATES, distributions },
  });
  const next = createRunTimeDistributions(state.learnedEstimates?.estimates);
  assert.deepEqual(next.learnedDistributions(), distributions);
  const { step: other } = taskOf(busyState(), 'f', 0, 0);
  const difference = next.expectedMs(other) - times.expectedMs(other);
  assert.ok(Math.abs(difference) < 5);
});

// An earlier version leads for a while: it records averages only, and the next leader finds no distributions.
test('without recorded distributions they start from the averages', () => {
  const state = busyState();
  applyRecord(state, {
    kind: 'learnt',
    learnt: { ...NO_ESTIMATES, runTimes: [['q/f', 3_000]] },
  });
  const { estimates } = state.learnedEstimates ?? {};
  assert.equal(estimates?.distributions, undefined);
  const averages = createRunTimes(estimates?.runTimes);
  const times = createRunTimeDistributions(estimates);
  const { step } = taskOf(state, 'f', 0, 0);
  const ratio = times.expectedMs(step) / averages.expectedMs(step);
  assert.ok(ratio > 0.85 && ratio < 1.15, `${ratio}`);
});

test('recorded distributions that are not valid are ignored, row by row', () => {
  const good: (string | number | null)[] = [
    'q',
    5,
    0,
    0.1,
    0.2,
    0.05,
    0.01,
    1.9,
  ];
  const queues = [
    good,
    good.slice(0, 7),
    good.with(0, 7),
    good.with(1, -1),
    good.with(3, 0),
    good.with(4, null),
    good.with(5, -0.1),
    good.with(6, 1),
    good.with(7, 1e300),
    'q',
  ];
  const means = [
    ['q/f', 7, 3],
    ['q/f', 7],
    ['q/f', null, 3],
    ['q/f', 7, -1],
    ['q/f', 1e300, 3],
  ];
  for (const [distributions, expected] of [
    [
      { queues, means },
      { queues: [good], means: [['q/f', 7, 3]] },
    ],
    [{ queues: 1 }, { queues: [], means: [] }],
    [[], { queues: [], means: [] }],
    [3, { queues: [], means: [] }],
    [null, undefined],
  ]) {
    const row = ['learnt', { ...NO_ESTIMATES, distributions }];
    const bytes = new TextEncoder().encode(JSON.stringify(row));
    const record = decodeJournal(bytes);
    assert.ok(record?.kind === 'learnt');
    assert.deepEqual(record.learnt.distributions, expected);
  }
});

test('a full record with distributions is as small as the log requires', () => {
  const keyAt = (at: number): string => `queue-of-a-service-${at}/image-${at}`;
  const rows = Array.from({ length: MAX_LEARNED_ENTRIES }, (_, at) => at);
  const learnt = {
    runTimes: rows.map(at => [keyAt(at), 12_345] as const),
    pressures: rows.map(at => [keyAt(at), 1.234, 1.234] as const),
    lowTails: rows.map(at => [keyAt(at), 123.456] as const),
    distributions: {
      queues: rows
        .slice(0, MAX_LEARNED_QUEUES)
        .map(
          at =>
            [
              keyAt(at),
              12_345,
              0.123,
              0.123,
              0.123,
              0.123,
              0.123,
              1.946,
            ] as const,
        ),
      means: rows.map(at => [keyAt(at), 7.123, 20] as const),
    },
  };
  assert.ok(encodeRecord({ kind: 'learnt', learnt }).length < MAX_RECORD_BYTES);
});
