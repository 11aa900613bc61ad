/*
 * Guards against running finished tasks again after a change of the leader. A worker lists 500 ends at a time. When
 * more of its runs had ended while no host led, the new leader took those that the first report did not list for runs
 * that had never started, and started their tasks again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  decodeJournal,
  newProgress,
  refOf,
  runKey,
  taskName,
  type JournalRecord,
  type Run,
  type RunEnd,
} from '@paddlewind/domain/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';

import { captureLog } from './captured-log.fixture.test.js';
import { testContext } from './context.fixture.test.js';
import { ReportChecks } from './report-checks.js';
import { ReportedRuns, type Report } from './reported-runs.js';
import { Simulation } from './simulation.fixture.test.js';
import {
  openLink,
  ORDERED_WORKER,
  StubWorker,
} from './stub-worker.fixture.test.js';

const JOB = '00000000000000e1';
const HOSTS = ['h1', 'h2', 'h3'];
const WORKERS = ['w1', 'w2'];
/** Longer than a test: tasks end when the test ends them. */
const SCRIPT = { runMs: 100_000, failures: 0 };
const LARGE = { cpuMilli: 100_000, memoryMiB: 200_000, accelerators: 0 };
const SMALL_TASK = { cpuMilli: 10, memoryMiB: 10, accelerators: 0 };

/** Returns a deployment with one worker, at which `tasks` tasks run. */
async function deploymentWithRuns(
  seed: number,
  tasks: number,
): Promise<Simulation> {
  const site = new Simulation(seed);
  site.addWorker('w1', [], LARGE);
  HOSTS.forEach(name => site.startHost(name));
  const step = { tasks, after: [], size: SMALL_TASK };
  void site.submit(JOB, [step], SCRIPT);
  const areRunning = (): boolean => site.history.countActiveRuns(JOB) === tasks;
  await site.time.until(areRunning, 60_000);
  // A second worker has room, so that nothing waits for the first one.
  site.addWorker('w2', [], LARGE);
  await site.time.advance(1_000);
  return site;
}

/** The journal records of starts and ends that were written since an earlier moment. */
class WrittenRuns {
  private readonly from: number;

  constructor(private readonly site: Simulation) {
    this.from = site.log.recordsOf('journal').length;
  }

  /** Number of starts. */
  get starts(): number {
    return this.records().filter(record => record?.kind === 'start').length;
  }

  /** Number of ends of each kind. */
  get ends(): Partial<Record<RunEnd, number>> {
    const counts: Partial<Record<RunEnd, number>> = {};
    for (const record of this.records()) {
      if (record?.kind === 'end') {
        counts[record.how] = (counts[record.how] ?? 0) + 1;
      }
    }
    return counts;
  }

  private records(): (JournalRecord | undefined)[] {
    const written = this.site.log.recordsOf('journal').slice(this.from);
    return written.map(decodeJournal);
  }
}

/** Kills the leader, and ends all runs before another host leads; returns what is written from then on. */
function endWithoutLeader(site: Simulation, how: RunEnd): WrittenRuns {
  site.kill(site.leader());
  WORKERS.forEach(name => site.fleet.at(name)?.endAll(how));
  return new WrittenRuns(site);
}

for (const tasks of [500, 501, 600, 1_600]) {
  test(`a task that is done is not started again by the next leader: ${tasks} ends on one worker`, async () => {
    const site = await deploymentWithRuns(1, tasks);
    const written = endWithoutLeader(site, 'done');
    await site.time.advance(6_000);
    assert.equal(written.starts, 0);
    assert.deepEqual(written.ends, { done: tasks });
    assert.deepEqual(site.history.check(), []);
    assert.ok(site.history.isDone(JOB));
  });
}

// Each leader acknowledges only what it has recorded.
test('a task that is done is not started again though the next leader fails before all ends are recorded', async () => {
  const site = await deploymentWithRuns(2, 1_600);
  const written = endWithoutLeader(site, 'done');
  await site.time.until(() => (written.ends.done ?? 0) > 0, 5_000);
  assert.ok((written.ends.done ?? 0) < 1_600);
  site.kill(site.leader());
  await site.time.advance(6_000);
  assert.equal(written.starts, 0);
  assert.deepEqual(written.ends, { done: 1_600 });
  assert.deepEqual(site.history.check(), []);
});

// Ends that were not listed were recorded as void: failures did not count as attempts, and checkpoints were lost.
for (const how of ['failed', 'stopped', 'lapsed', 'broken', 'alone'] as const) {
  test(`each end is recorded as it was: 600 ends on one worker, ${how}`, async () => {
    const site = await deploymentWithRuns(3, 600);
    const written = endWithoutLeader(site, how);
    await site.time.until(() => (written.ends[how] ?? 0) >= 500, 5_000);
    await site.time.advance(100);
    assert.deepEqual(written.ends, { [how]: 600 });
    assert.deepEqual(site.history.check(), []);
  });
}

// A run whose stop was confirmed and whose end was not listed yet was taken for one that never started, and lost its
// checkpoint.
test('a stopped run ends as its worker lists it, however many ends are listed before', async () => {
  const stub = new StubWorker(5);
  stub.listedEnds = 2;
  const link = await openLink(stub);
  const runs = [0, 1, 2, 3, 4].map(index => stub.open(index));
  runs.forEach(run => {
    link.start(run, stub.time.clock());
  });
  await stub.time.advance(100);
  const stopped = runs.at(-1);
  assert.ok(stopped);
  link.stop(stopped);
  runs.forEach(run => {
    stub.list(run, run === stopped ? 'stopped' : 'done');
  });
  await stub.time.advance(5_000);
  assert.deepEqual(stub.ended, [
    '0#1 done',
    '1#1 done',
    '2#1 done',
    '3#1 done',
    '4#1 stopped',
  ]);
  link.close();
});

// Runs that were sent to an earlier incarnation and have ended at this one were given up, and their tasks started again.
test('runs of an earlier incarnation are taken over, however many ends are listed before', async () => {
  const stub = new StubWorker(5);
  stub.startedAt = 1_700;
  stub.listedEnds = 2;
  for (const index of [0, 1, 2, 3, 4]) {
    const run = stub.open(index, 'w@1600');
    run.progress = newProgress(0);
    if (index < 4) {
      stub.list(run, 'done');
    }
  }
  const link = await openLink(stub, { ...ORDERED_WORKER, id: 'w@1700' });
  await stub.time.advance(5_000);
  const done = ['0#1 done', '1#1 done', '2#1 done', '3#1 done'];
  assert.deepEqual(stub.ended, [...done, '4#1 lapsed']);
  link.close();
});

// A worker of which only a part of the ends is known has runs that may have ended: its room is not known.
test('a worker is assigned no runs until all its ends are listed', async () => {
  const stub = new StubWorker(5);
  stub.listedEnds = 2;
  [0, 1, 2, 3, 4].forEach(index => {
    stub.list(stub.open(index), 'done');
  });
  const link = await openLink(stub);
  assert.ok(!link.usable);
  await stub.time.until(() => link.usable, 1_000);
  assert.equal(stub.ended.length, 5);
  link.close();
});

// Runs were logged as missing although their ends were only not listed yet.
test('a run whose end is not listed yet is not reported as missing', () => {
  const stub = new StubWorker(2);
  const { log, lines } = captureLog();
  const ctx = { ...testContext(createVirtualTime()), log };
  const checks = new ReportChecks(ctx, ORDERED_WORKER.id, true);
  const [first, second] = [stub.open(0), stub.open(1)];
  const open = new Map([first, second].map(run => [keyOf(run), run]));
  const check = (report: Report): void => {
    checks.check(report, new ReportedRuns(report), open);
  };
  const none = { kind: 'seen', startedAt: undefined, clock: 0 } as const;
  const [active, later] = [first, second].map(activeRowOf);
  assert.ok(active && later);
  const missing = (): number =>
    lines.filter(({ msg }) => msg === MISSING).length;
  check({ ...none, active: [active, later], ended: [], hasMoreEnds: false });
  check({ ...none, active: [active], ended: [], hasMoreEnds: true });
  assert.equal(missing(), 0);
  check({ ...none, active: [active], ended: [], hasMoreEnds: false });
  assert.equal(missing(), 1);
});

const MISSING = 'worker: a run that was at work is no longer listed';

function keyOf({ task, number }: Run): string {
  return runKey(taskName(refOf(task)), number);
}

function activeRowOf({ task, number }: Run): Report['active'][number] {
  return {
    task: refOf(task),
    run: number,
    checkpoint: '',
    percent: 0,
    reading: 0,
  };
}
