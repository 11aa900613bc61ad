/*
 * Guards against lost submissions on a slow log. The log takes 200 ms for each append, one after
 * the other, while thirty callers a second submit jobs at 24 hosts. Without batching, five a second
 * were accepted; those that waited for over 2 s were turned away, and the others got no answer in
 * time. Through the leader their records are appended in batches.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { AppendResult } from '@paddlewind/ports/jobs';
import { createVirtualTime, type VirtualTime } from '@paddlewind/stand-ins';
import { MemoryJobLog } from '@paddlewind/stand-ins/jobs';

import type { CallerView } from './caller-view.js';
import { testContext } from './context.fixture.test.js';
import { AppendBatcher } from './append-batcher.js';
import { InboxSender } from './inbox-sender.js';
import { jobOf, Simulation } from './simulation.fixture.test.js';

const HOSTS = 24;
const CALLERS_A_SECOND = 30;
const SLOW_APPEND_MS = 200;
const DEADLINE_MS = 3_000;
const RECORD = [new Uint8Array([1])];

async function largeDeployment(seed: number): Promise<Simulation> {
  const site = new Simulation(seed);
  for (let at = 0; at < HOSTS; at += 1) {
    site.startHost(`h${at}`, at < 9 ? 1.3 : 0.3);
  }
  await site.time.advance(7_000);
  return site;
}

/** Returns the share of the callers during `seconds` that are accepted. */
async function acceptedShare(
  site: Simulation,
  seconds: number,
): Promise<number> {
  const names = [...site.hosts.keys()].filter(name => name !== site.leader());
  const callers = seconds * CALLERS_A_SECOND;
  let accepted = 0;
  for (let at = 0; at < callers; at += 1) {
    const { host } = site.hosts.get(names[at % names.length] ?? '') ?? {};
    const id = at.toString(16).padStart(16, '0');
    const step = { tasks: 1, after: [], label: 'none' };
    const job = jobOf(id, [step], { runMs: 100, failures: 0 });
    const deadline = site.time.clock() + DEADLINE_MS;
    void host?.service.submit(job, deadline).then(({ kind }) => {
      accepted += Number(kind === 'recorded');
    });
    await site.time.advance(1_000 / CALLERS_A_SECOND);
  }
  await site.time.advance(DEADLINE_MS);
  return accepted / callers;
}

test('nine in ten callers of many hosts are accepted while the log is slow', async () => {
  const site = await largeDeployment(1);
  site.log.appendMs = SLOW_APPEND_MS;
  const share = await acceptedShare(site, 5);
  assert.ok(share >= 0.9, `${share}`);
});

test('callers are accepted through the log while the leader is frozen', async () => {
  const site = await largeDeployment(2);
  site.freeze(site.leader(), 1_500);
  const share = await acceptedShare(site, 1);
  assert.equal(share, 1);
});

test('a host that cannot reach the leader appends by itself', async () => {
  const site = await largeDeployment(3);
  for (const name of site.hosts.keys()) {
    site.peers.cuts.add(`${name}>${site.leader()}`);
  }
  const before = site.peers.appends;
  const share = await acceptedShare(site, 2);
  assert.equal(share, 1);
  assert.equal(site.peers.appends, before);
});

/** Returns a sender whose leader answers with `leaderResult`. */
function senderOf(
  time: VirtualTime,
  log: MemoryJobLog,
  leaderResult: AppendResult,
): InboxSender {
  return new InboxSender({
    ctx: testContext(time),
    jobLog: log.connect('h'),
    view: () => ({ contactAt: time.clock() }) as CallerView,
    leader: () => () => Promise.resolve(leaderResult),
  });
}

test('a record that the leader may have appended is not reported as refused', async () => {
  const time = createVirtualTime();
  const log = new MemoryJobLog({ ...time, random: () => 0.5 });
  log.streamModes.set('inbox', 'refusing');
  for (const kind of ['unknown', 'refused'] as const) {
    const sender = senderOf(time, log, { kind, reason: 'planned' });
    const appending = sender.append(RECORD);
    await time.advance(500);
    assert.equal((await appending).kind, kind);
  }
});

test('records that arrive during an append are combined into the next one', async () => {
  const time = createVirtualTime();
  const log = new MemoryJobLog({ ...time, random: () => 0.5 });
  log.appendMs = SLOW_APPEND_MS;
  const batcher = new AppendBatcher(testContext(time), log.connect('h'));
  const appends = Array.from({ length: 50 }, () => batcher.append(RECORD));
  await time.advance(3 * SLOW_APPEND_MS);
  const offsets = (await Promise.all(appends)).map(found =>
    found.kind === 'appended' ? found.offset : -1,
  );
  assert.deepEqual(
    offsets,
    Array.from({ length: 50 }, (_, at) => at),
  );
});

test('each batch is appended once while the log is slow', async () => {
  const time = createVirtualTime();
  const log = new MemoryJobLog({ ...time, random: () => 0.5 });
  log.appendMs = 600;
  const batcher = new AppendBatcher(testContext(time), log.connect('h'));
  for (let at = 0; at < 8; at += 1) {
    void batcher.append(RECORD);
    await time.advance(700);
  }
  await time.advance(2_000);
  // The first batch is sent twice, since the speed of the log is not known yet.
  assert.equal(log.recordsOf('inbox').length, 9);
});
