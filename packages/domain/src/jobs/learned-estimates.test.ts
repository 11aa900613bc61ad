/**
 * Pattern: leaders change every few seconds, by restarts, losses or outages, while fillers press on what
 * serves. A leader that knows nothing tries each pair of images anew, and each try may put a task that
 * serves over its target for a second or two.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Interference } from './interference.js';
import { workerRuns, type JobsState } from './jobs-state.js';
import { MAX_LEARNED_ENTRIES } from './learned-estimates.js';
import { decodeJournal } from './record-rows.js';
import { createRunTimes } from './run-times.js';
import { apply, startOn, stateOf, taskOf, testJob } from './test-support.js';

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

/** Lets a model see that the filler presses hard. */
function teach(state: JobsState, model: Interference): void {
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

/** The pressure that a model reckons with for the pair. */
function pressureOf(model: Interference): number {
  const { pressures } = model.learnt();
  return pressures.find(([pair]) => pair === 's/f')?.[1] ?? 0;
}

test('a new leader begins with the pressures that the last one has learnt', () => {
  const state = busyState();
  const model = new Interference();
  teach(state, model);
  const times = createRunTimes();
  times.learn(taskOf(state, 'f', 0, 0).step, 1_700);
  const learnt = { runTimes: times.learnt(), ...model.learnt() };
  apply(state, { kind: 'learnt', learnt });
  const next = new Interference(state.learnt);
  assert.ok(pressureOf(model) > 2);
  assert.equal(pressureOf(next), pressureOf(model));
  const nextTimes = createRunTimes(state.learnt?.learnt.runTimes);
  const { step } = taskOf(state, 'f', 0, 1);
  assert.equal(nextTimes.expectedMs(step), times.expectedMs(step));
});

test('what was learnt is recorded within a bound', () => {
  const pressures = Array.from(
    { length: 3 * MAX_LEARNED_ENTRIES },
    (_, at) => [`s/${at}`, 1, 1] as const,
  );
  const learnt = { runTimes: [], pressures, lowTails: [] };
  const model = new Interference({ learnt, readAt: 0 });
  assert.equal(model.learnt().pressures.length, MAX_LEARNED_ENTRIES);
});

// Figures that are no numbers stood in the record as null, and each leader that read them failed when it recorded them.
test('what was learnt begins anew where the record holds no numbers', () => {
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
  apply(state, record);
  const model = new Interference(state.learnt);
  assert.deepEqual(model.learnt(), {
    pressures: [['s/i', 3, 1]],
    lowTails: [],
  });
  assert.deepEqual(createRunTimes(state.learnt?.learnt.runTimes).learnt(), []);
});
