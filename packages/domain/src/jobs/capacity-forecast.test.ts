/* Guards against forecasts from observations that don't show the capacity: jobs would be refused that could be served. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { applyInbox } from './fold.js';
import type { Run } from './job.js';
import type { JobsState } from './jobs-state.js';
import { CapacityForecast, type ForecastInput } from './capacity-forecast.js';
import type { CapacityRow } from './capacity-rows.js';
import { createRunTimes } from './run-times.js';
import type { JobSpec } from './spec.js';
import { endRun, stateOf, startOn, testJob } from './test-support.js';

const ROUND_MS = 250;

/** A leader with places for a few tasks, which run for exactly as long as expected, beginning at `slowdown`. */
class Leader {
  readonly forecast = new CapacityForecast();
  readonly times = createRunTimes();
  now = 0;
  slowdown = 1;
  private readonly ends = new Map<Run, number>();

  constructor(
    readonly state: JobsState,
    public places: number,
  ) {}

  /** Runs rounds until `until`; nothing starts, as in an outage, if `mayStart` is false. */
  runUntil(until: number, mayStart = true): void {
    for (; this.now < until; this.now += ROUND_MS) {
      this.endRuns();
      if (mayStart) {
        this.startRuns();
        this.forecast.noteRound(this.input());
      } else {
        this.forecast.noteBlocked();
      }
    }
  }

  rows(hosts = 1): CapacityRow[] {
    return this.forecast.rows(this.now, hosts);
  }

  submit(job: JobSpec): void {
    applyInbox(this.state, { kind: 'submit', job, atWall: 0 });
  }

  private input(): ForecastInput {
    const time = { now: this.now, nowWall: this.now };
    return { state: this.state, times: this.times, time };
  }

  private endRuns(): void {
    for (const [run, end] of this.ends) {
      if (end <= this.now) {
        this.ends.delete(run);
        this.forecast.noteCompleted(run.task);
        endRun(this.state, run, 'done');
      }
    }
  }

  private startRuns(): void {
    this.state.now = this.now;
    for (const job of this.state.openJobs) {
      job.seenAt ??= this.now;
      for (const task of job.occurrences.get(0)?.steps[0]?.tasks ?? []) {
        if (task.status === 'waiting' && this.ends.size < this.places) {
          const run = startOn(this.state, task, 'w');
          const runMs = this.slowdown * task.step.spec.estimateMs;
          run.progress = undefined;
          this.ends.set(run, this.now + runMs);
        }
      }
    }
  }
}

/** Jobs of single tasks of one core and one second, which never become overdue in these tests. */
function jobsOf(count: number, prefix = 'j', priority = 0): JobSpec[] {
  const terms = { priority, deadlineFactor: 1_000 };
  return Array.from({ length: count }, (_, at) =>
    testJob(`${prefix}${at}`, [{ estimateMs: 1_000 }], terms),
  );
}

test('a row is known once tasks have waited for a second and work was completed', () => {
  const leader = new Leader(stateOf(...jobsOf(200)), 4);
  leader.runUntil(1_000);
  assert.deepEqual(leader.rows(), []);
  leader.runUntil(8_000);
  const [row] = leader.rows(29);
  assert.ok(row !== undefined);
  assert.equal(row.kind, 'plain');
  assert.equal(row.hosts, 29);
  assert.ok(Math.abs(row.rate - 4_000) < 500, `rate ${row.rate}`);
  assert.ok(row.errorPercent > 20 && row.errorPercent < 60);
  assert.ok(Math.abs(row.backlog - (200 - 4 * 7.75) * 1_000) < 5_000);
  leader.runUntil(60_000);
  assert.deepEqual(leader.rows(), []);
});

test('no row while nothing waits, however much runs', () => {
  const leader = new Leader(stateOf(...jobsOf(20)), 20);
  for (let until = 500; until <= 5_000; until += 500) {
    leader.runUntil(until);
    for (const job of jobsOf(10, `at${until}-`)) {
      leader.submit(job);
    }
    leader.runUntil(until + ROUND_MS);
    assert.deepEqual(leader.rows(), []);
  }
});

test('tasks of higher priorities are included, and lower ones are not', () => {
  const state = stateOf(...jobsOf(100), ...jobsOf(100, 'k', 2));
  const leader = new Leader(state, 4);
  leader.runUntil(5_000);
  const rows = leader.rows().sort((a, b) => a.priority - b.priority);
  assert.deepEqual(
    rows.map(({ priority }) => priority),
    [0, 2],
  );
  const [urgent, other] = rows;
  assert.equal((other?.backlog ?? 0) - (urgent?.backlog ?? 0), 100_000);
});

test('long-running and scheduled jobs are not forecast', () => {
  const repetition = { times: 3, firstAtWall: 0, everyMs: 1 };
  const [scheduled] = jobsOf(1, 'scheduled');
  assert.ok(scheduled !== undefined);
  const lasting = testJob('lasting', [{ tasks: 50, lasting: true }]);
  const leader = new Leader(stateOf(...jobsOf(100)), 4);
  leader.submit({ ...scheduled, repetition });
  leader.submit(lasting);
  leader.runUntil(5_000);
  const [row, ...others] = leader.rows();
  assert.deepEqual(others, []);
  assert.ok((row?.backlog ?? Infinity) <= 100_000);
});

test('a running task counts with what is left of it', () => {
  const leader = new Leader(stateOf(...jobsOf(100)), 4);
  leader.slowdown = 4;
  leader.runUntil(5_250);
  const [before] = leader.rows();
  const running = [...leader.state.openJobs].flatMap(
    job => job.occurrences.get(0)?.steps[0]?.tasks[0]?.runs ?? [],
  );
  assert.equal(running.length, 4);
  for (const run of running) {
    // At full speed they would have ended; their reports say that half of the work is left.
    run.progress = { percent: 50, since: 4_000 } as Run['progress'];
  }
  leader.runUntil(5_750);
  const [after] = leader.rows();
  assert.equal((after?.backlog ?? 0) - (before?.backlog ?? 0), 2_000);
});

// After a wave of starts few runs end, as those that run are new, and the rate would seem to be far too low.
test('until tasks have waited for as long as one runs, the processors in use bound the rate', () => {
  const slow = { estimateMs: 3_000 };
  const steady = testJob('steady', [{ ...slow, tasks: 2 }]);
  const leader = new Leader(stateOf(steady), 10);
  leader.runUntil(2_000);
  leader.submit(testJob('burst', [{ ...slow, tasks: 300 }], { priority: 1 }));
  leader.runUntil(4_000);
  const row = leader.rows().find(({ priority }) => priority === 1);
  assert.ok(row !== undefined);
  assert.ok(row.rate < 5_000);
  assert.ok(row.rate * (1 + row.errorPercent / 100) >= 10_000);
});

// Tasks wait for a leader that is busy, too, while workers have capacity: the observed rate is not their limit.
test('the rate may grow as the processors in use do', () => {
  const leader = new Leader(stateOf(...jobsOf(400)), 4);
  leader.runUntil(8_000);
  const [before] = leader.rows();
  leader.places = 12;
  leader.runUntil(8_750);
  const [after] = leader.rows();
  const fastest = (row = before): number =>
    (row?.rate ?? 0) * (1 + (row?.errorPercent ?? 0) / 100);
  assert.ok(fastest(after) > 2 * fastest(before));
});

// In an outage of the log nothing starts, and what ends is not replaced.
test('nothing is observed during an outage, and a second of waiting after it is needed', () => {
  const leader = new Leader(stateOf(...jobsOf(400)), 4);
  leader.runUntil(8_000);
  assert.equal(leader.rows().length, 1);
  leader.runUntil(13_000, false);
  assert.deepEqual(leader.rows(), []);
  leader.runUntil(13_750);
  assert.deepEqual(leader.rows(), []);
  leader.runUntil(15_500);
  const [row] = leader.rows();
  assert.ok(row !== undefined);
  assert.ok(row.rate * (1 + row.errorPercent / 100) >= 4_000);
});

// The rounds of a leader wait for its journal.
test('a leader without rounds for a second has no forecast, and starts anew', () => {
  const leader = new Leader(stateOf(...jobsOf(400)), 4);
  leader.runUntil(8_000);
  leader.now += 1_500;
  assert.deepEqual(leader.rows(), []);
  leader.runUntil(leader.now + ROUND_MS);
  assert.deepEqual(leader.rows(), []);
});

// Hosts read no rows at all if one of them is invalid.
test('a class whose work is not a finite number is left out', () => {
  const leader = new Leader(stateOf(...jobsOf(100)), 4);
  const terms = { priority: 2 };
  const huge = [{ estimateMs: 1e308, tasks: 100 }];
  leader.submit(testJob('huge', huge, terms));
  leader.runUntil(8_000);
  assert.deepEqual(
    leader.rows().map(({ priority }) => priority),
    [0],
  );
});

test('a new leader has no rate until tasks have waited for a second under it', () => {
  const earlier = new Leader(stateOf(...jobsOf(400)), 4);
  earlier.runUntil(8_000);
  const next = new Leader(earlier.state, 8);
  next.now = 8_000;
  next.runUntil(8_750);
  assert.deepEqual(next.rows(), []);
  next.runUntil(12_000);
  assert.equal(next.rows().length, 1);
});

// They have lost their value and go after all others, so that nothing waits for them.
test('jobs that have not started and are overdue are left out', () => {
  const terms = { deadlineFactor: 1, targetLatencyMs: 0 };
  const steps = [{ estimateMs: 1_000, tasks: 100 }];
  const leader = new Leader(stateOf(...jobsOf(100)), 4);
  leader.submit(testJob('hopeless', steps, terms));
  leader.runUntil(2_250);
  const [before] = leader.rows();
  leader.runUntil(5_000);
  const [after] = leader.rows();
  assert.ok((before?.backlog ?? 0) > 150_000);
  assert.ok((after?.backlog ?? 0) < 100_000);
});
