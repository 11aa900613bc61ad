/*
 * Guards against refusals by capacity that are not true: of a job that has been recorded, or by a forecast that is
 * too old; and against callers that return while the log is still unavailable.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { UNKNOWN_SPAN } from '@paddlewind/domain';
import {
  decodeInbox,
  decodeJournal,
  encodeRecord,
  encodeSummary,
  NO_LIMITS,
  type AdmissionLimits,
  type JobSpec,
} from '@paddlewind/domain/jobs';
import { createVirtualTime } from '@paddlewind/stand-ins';
import { MemoryJobLog } from '@paddlewind/stand-ins/jobs';

import { testContext } from './context.fixture.test.js';
import { InboxSender } from './inbox-sender.js';
import { JobService, type ChangeResult } from './job-service.js';
import { ReplicaView } from './replica-view.js';
import { Replica } from './replica.js';
import { jobOf, Simulation } from './simulation.fixture.test.js';
import { SummaryFollower } from './summary-follower.js';
import { SummaryView } from './summary-view.js';

const ID = '00000000000000b1';
/** Time left to callers whose deadline bounds no return time. */
const DISTANT_DEADLINE_MS = 100_000;

/** A backlog of a minute before any job, at the forecast rate. */
const LIMITS: AdmissionLimits = {
  ...NO_LIMITS,
  rooms: [
    {
      service: 'main',
      kind: 'plain',
      priority: 0,
      backlog: 60_000,
      rate: 1_000,
      errorPercent: 0,
      hosts: 2,
    },
  ],
};

function testJob(id: string): JobSpec {
  return jobOf(id, [{ tasks: 1, after: [] }], { runMs: 100, failures: 0 });
}

/** A host that follows the journal, and a log to which a leader writes. */
class Follower {
  readonly time = createVirtualTime();
  readonly log = new MemoryJobLog({ ...this.time, random: () => 0.5 });
  readonly view: ReplicaView;
  readonly service: JobService;

  constructor(admitsByCapacity = true) {
    const ctx = testContext(this.time);
    const jobLog = this.log.connect('h');
    const replica = new Replica(ctx, jobLog);
    const view = new ReplicaView(ctx, replica, () => undefined);
    const leader = (): undefined => undefined;
    const inbox = new InboxSender({ ctx, jobLog, view: () => view, leader });
    this.view = view;
    this.service = new JobService(ctx, inbox, () => view, admitsByCapacity);
    const keepReading = (): void => {
      void replica.refresh('journal');
      this.time.schedule(300, keepReading);
    };
    keepReading();
  }

  /** The leader writes a heartbeat with the forecast. */
  async writeHeartbeat(limits = LIMITS): Promise<void> {
    const record = {
      kind: 'heartbeat',
      epoch: 64,
      host: 'leader',
      nonce: 1,
      handed: undefined,
      standbys: [],
      address: 'a',
      ledForMs: 10,
      silence: UNKNOWN_SPAN,
      limits,
    } as const;
    void this.log.connect('other').append('journal', [encodeRecord(record)]);
    await this.time.advance(10);
  }

  async submit(id: string, spanMs = 3_000): Promise<ChangeResult> {
    const deadline = this.time.clock() + spanMs;
    const result = this.service.submit(testJob(id), deadline);
    await this.time.advance(2_000);
    return result;
  }

  /** Another host records a job that this one has not read. */
  async recordElsewhere(id: string): Promise<void> {
    const record = encodeRecord({
      kind: 'submit',
      job: testJob(id),
      atWall: 0,
    });
    void this.log.connect('other').append('inbox', [record]);
    await this.time.advance(10);
  }

  recordedJobs(): number {
    return this.log
      .recordsOf('inbox')
      .filter(bytes => decodeInbox(bytes)?.kind === 'submit').length;
  }
}

async function followerWithForecast(
  admitsByCapacity = true,
): Promise<Follower> {
  const follower = new Follower(admitsByCapacity);
  await follower.time.advance(1_000);
  await follower.writeHeartbeat();
  await follower.time.advance(400);
  return follower;
}

test('a job without capacity is refused with the forecast and a time to return, and not recorded', async () => {
  const follower = await followerWithForecast();
  const result = await follower.submit(ID, DISTANT_DEADLINE_MS);
  assert.ok(result.kind === 'refused');
  // 60 s of work, of which 3 times 2.5 s less the job's own second may go before it.
  const returnMs = result.retryAfterMs ?? 0;
  // Its slot is within the 2 s in which its work is completed for one of two hosts.
  assert.ok(returnMs >= 54_000 && returnMs <= 56_000);
  assert.equal(result.forecast?.waitMs, 60_000);
  assert.equal(result.forecast.added, 0);
  assert.equal(follower.recordedJobs(), 0);
});

test('where jobs are not admitted by capacity the forecast refuses nothing, and refusals state no time to return', async () => {
  const follower = await followerWithForecast(false);
  assert.deepEqual(await follower.submit(ID), { kind: 'recorded' });
  follower.log.streamModes.set('inbox', 'unreadable');
  follower.log.streamModes.set('journal', 'unreadable');
  await follower.time.advance(5_000);
  const result = await follower.submit('00000000000000b2');
  const reason = 'the log does not answer this host';
  assert.deepEqual(result, { kind: 'refused', reason });
  assert.equal(follower.service.logReturnMs(DISTANT_DEADLINE_MS), undefined);
});

// A caller whose first attempt ended without an answer may come to another host.
test('a job that another host has recorded is not refused', async () => {
  const follower = await followerWithForecast();
  await follower.recordElsewhere(ID);
  assert.deepEqual(await follower.submit(ID), { kind: 'recorded' });
  assert.equal(follower.recordedJobs(), 1);
});

// Whether an earlier attempt was recorded can't be known then.
test('a job is not refused by capacity while the inbox can not be read', async () => {
  const follower = await followerWithForecast();
  follower.log.streamModes.set('inbox', 'unreadable');
  const result = await follower.submit(ID);
  assert.ok(result.kind === 'refused');
  assert.equal(result.reason, 'the log does not answer');
  assert.equal(result.forecast, undefined);
});

// The append may still be carried out.
test('a job whose append had no known outcome on this host is not refused by capacity', async () => {
  const follower = new Follower();
  await follower.time.advance(1_000);
  follower.log.streamModes.set('inbox', 'resetting');
  assert.equal((await follower.submit(ID)).kind, 'unknown');
  follower.log.streamModes.delete('inbox');
  await follower.time.advance(1_000);
  await follower.writeHeartbeat();
  await follower.time.advance(400);
  const other = await follower.submit('00000000000000b2');
  assert.ok(other.kind === 'refused');
  await follower.writeHeartbeat();
  await follower.time.advance(400);
  assert.deepEqual(await follower.submit(ID), { kind: 'recorded' });
});

test('a forecast that was not replaced for 3 s refuses nothing', async () => {
  const follower = await followerWithForecast();
  await follower.time.advance(3_000);
  assert.deepEqual(await follower.submit(ID), { kind: 'recorded' });
});

// The leader has written it before an outage of the log, and the host reads it afterwards.
test('a forecast that was read late refuses nothing', async () => {
  const follower = new Follower();
  await follower.time.advance(1_000);
  follower.log.hostStreamModes.set('h journal', 'unreadable');
  await follower.writeHeartbeat();
  await follower.time.advance(5_000);
  follower.log.hostStreamModes.delete('h journal');
  await follower.time.advance(1_000);
  assert.equal(follower.view.admissionLimits.rooms.length, 1);
  assert.deepEqual(await follower.submit(ID), { kind: 'recorded' });
});

test('a host that reads the summary counts the age of the forecast from its read before', async () => {
  const time = createVirtualTime();
  const log = new MemoryJobLog({ ...time, random: () => 0.5 });
  const ctx = testContext(time);
  const follower = new SummaryFollower(ctx, log.connect('h'));
  const view = new SummaryView(ctx, follower);
  const leads = { kind: 'leads', epoch: 64, host: 'l', address: 'a' } as const;
  const record = { ...leads, standbys: [], limits: LIMITS };
  const write = async (): Promise<void> => {
    void log.connect('l').append('summary', [encodeSummary(record)]);
    await time.advance(100);
  };
  const read = async (): Promise<number> => {
    void follower.refresh();
    await time.advance(100);
    return view.admissionLimits.roomsUntil - time.clock();
  };
  await write();
  assert.equal(await read(), -Infinity);
  await write();
  const leftMs = await read();
  assert.ok(leftMs > 2_500 && leftMs < 3_000);
  assert.deepEqual(view.admissionLimits.rooms, LIMITS.rooms);
  await time.advance(5_000);
  await write();
  assert.ok((await read()) < 0);
});

test('callers return later the longer the log has been unavailable, and before their deadline', async () => {
  const follower = await followerWithForecast();
  follower.log.streamModes.set('inbox', 'unreadable');
  follower.log.streamModes.set('journal', 'unreadable');
  await follower.time.advance(2_500);
  const early = await follower.submit(ID, DISTANT_DEADLINE_MS);
  assert.ok(early.kind === 'refused');
  assert.ok([3_000, 4_000].includes(early.retryAfterMs ?? 0));
  await follower.time.advance(20_000);
  const late = await follower.submit(ID, DISTANT_DEADLINE_MS);
  assert.ok(late.kind === 'refused');
  // 4 s, lengthened by up to a quarter.
  assert.ok([4_000, 5_000].includes(late.retryAfterMs ?? 0));
  const bounded = await follower.submit(ID);
  assert.ok(bounded.kind === 'refused');
  assert.equal(bounded.retryAfterMs, 2_000);
});

/** Submits jobs of four tasks, 10 a second, to a deployment with capacity for two a second. */
async function overload(site: Simulation, seconds: number): Promise<void> {
  const script = { runMs: 1_000, failures: 0 };
  const steps = [{ tasks: 4, after: [] }];
  for (let at = 0; at < 10 * seconds; at += 1) {
    const id = (site.history.jobs.size + 1).toString(16).padStart(16, '0');
    void site.submit(id, steps, script);
    await site.time.advance(100);
  }
}

/** Submits a job to each host and returns the ids of those that are refused by capacity. */
async function refusedIds(site: Simulation, prefix: string): Promise<string[]> {
  const refused: string[] = [];
  const pending = [...site.hosts].map(async ([name, { host, alive }]) => {
    const id = `${prefix}${name}`.padStart(16, '0');
    const deadline = site.time.clock() + 3_000;
    const result = alive
      ? await host.service.submit(testJob(id), deadline)
      : undefined;
    if (result?.kind === 'refused' && result.forecast !== undefined) {
      refused.push(id);
    }
  });
  await site.time.advance(3_000);
  await Promise.all(pending);
  return refused;
}

/** Returns the number of heartbeats with a forecast of capacity. */
function countForecasts(site: Simulation): number {
  return site.log
    .recordsOf('journal')
    .map(decodeJournal)
    .filter(
      record =>
        record?.kind === 'heartbeat' && (record.limits?.rooms.length ?? 0) > 0,
    ).length;
}

test('all hosts refuse by the forecast of an overloaded leader, and of the next one', async () => {
  const site = new Simulation(5);
  ['m1', 'm2'].forEach(name => {
    site.addWorker(name);
  });
  ['h1', 'h2', 'h3'].forEach(name => site.startHost(name));
  await site.time.advance(3_500);
  assert.equal(countForecasts(site), 0);
  await overload(site, 6);
  assert.ok(countForecasts(site) > 0);
  const first = await refusedIds(site, 'a');
  assert.ok(first.length > 0);
  site.kill(site.leader());
  await overload(site, 8);
  const next = await refusedIds(site, 'b');
  assert.ok(next.length > 0);
  await site.time.advance(20_000);
  const recorded = site.log.recordsOf('inbox').map(decodeInbox);
  const ids = recorded.map(record =>
    record?.kind === 'submit' ? record.job.id : '',
  );
  assert.ok([...first, ...next].every(id => !ids.includes(id)));
});
