import assert from 'node:assert/strict';
import test from 'node:test';

import {
  addResources,
  applyRecord,
  decision,
  decodeDecision,
  plan,
  type ScheduleView,
} from '@paddlewind/domain';

import { judge } from '../verdict.js';
import { runSchedule, SOUND, type ScheduleDecisions } from './schedule-run.js';

function broken(decisions: ScheduleDecisions): string[] {
  return judge(runSchedule(decisions))
    .filter(({ finding }) => finding.violations.length > 0)
    .map(({ check }) => check.name);
}

function withTwiceTheRoom(view: ScheduleView): ScheduleView {
  const workers = view.workers.map(worker => ({
    ...worker,
    capacity: addResources(worker.capacity, worker.capacity),
  }));
  return { ...view, workers };
}

test('planner and fold keep the promises on tasks', () => {
  const tried = judge(runSchedule(SOUND))
    .filter(({ finding }) => finding.checked > 0)
    .map(({ check }) => check.name);
  assert.deepEqual(tried, [
    'capacity',
    'one_place',
    'resume_once',
    'finish_once',
    'epochs',
  ]);
  assert.deepEqual(broken(SOUND), []);
});

test('a copy of the planner that sees too much room is caught', () => {
  const faulty: ScheduleDecisions = {
    ...SOUND,
    plan: (state, view, ...rest) =>
      plan(state, withTwiceTheRoom(view), ...rest),
  };
  assert.deepEqual(broken(faulty), ['capacity']);
});

test('a copy of the fold that takes void starts is caught', () => {
  const faulty: ScheduleDecisions = {
    ...SOUND,
    apply(state, record, position) {
      const verdict = applyRecord(state, record, position);
      return record.kind === 'task_started' ? { kind: 'applied' } : verdict;
    },
  };
  const names = broken(faulty);
  for (const name of ['one_place', 'resume_once', 'epochs']) {
    assert.ok(names.includes(name), name);
  }
});

test('a copy of the fold that loses evicted tasks is caught', () => {
  const faulty: ScheduleDecisions = {
    ...SOUND,
    apply(state, record, position) {
      const known = decodeDecision(record);
      return known?.kind === 'task_ended' && known.body.result === 'stopped'
        ? { kind: 'skipped' }
        : applyRecord(state, record, position);
    },
  };
  assert.ok(broken(faulty).includes('resume_once'));
});

test('a copy of the fold that takes completions for failures is caught', () => {
  const faulty: ScheduleDecisions = {
    ...SOUND,
    apply(state, record, position) {
      const known = decodeDecision(record);
      const taken =
        known?.kind === 'task_ended'
          ? decision('task_ended', { ...known.body, result: 'failed' })
          : record;
      return applyRecord(state, taken, position);
    },
  };
  assert.ok(broken(faulty).includes('finish_once'));
});
