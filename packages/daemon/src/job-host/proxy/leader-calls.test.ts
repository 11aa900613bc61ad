/*
 * Guards against a leader whose processor goes to single calls: on a site of 624 workers one host sent each
 * start, limit and poll in a call of its own, and with 650 starts a second it had no time left. While it is
 * saturated, hosts that stand by make the calls, and many pass in one message. Calls are counted, not timed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Simulation } from '../simulation.fixture.test.js';

const HOSTS = 6;
const WORKERS = 120;
const JOBS = 40;
const TASKS = 30;
const SETTLE_MS = 8_000;
const SCRIPT = { runMs: 600, failures: 0 };

/** What a leader did while jobs ran. */
interface LeaderWork {
  /** Starts, limits and polls that it sent itself, for each run. */
  readonly callsPerRun: number;
  /** Messages to other hosts for each call that these made. */
  readonly messagesPerCall: number;
  /** Timers that it set for each run and left to fire. */
  readonly timersPerRun: number;
}

async function leadJobs(isSaturated: boolean): Promise<LeaderWork> {
  const site = new Simulation(1, { relayAllStarts: false });
  for (let at = 0; at < WORKERS; at += 1) {
    site.addWorker(`w${at}`);
  }
  for (let at = 0; at < HOSTS; at += 1) {
    site.startHost(`h${at}`);
  }
  await site.time.advance(SETTLE_MS);
  const leader = site.leader();
  site.saturate(leader, isSaturated);
  await site.time.advance(3_000);
  const calls = (): number => site.workerCalls.get(leader) ?? 0;
  const before = { calls: calls(), timers: site.timersOf(leader) };
  for (let at = 0; at < JOBS; at += 1) {
    const id = at.toString(16).padStart(16, '0');
    void site.submit(id, [{ tasks: TASKS, after: [] }], SCRIPT);
    await site.time.advance(100);
  }
  await site.time.advance(5_000);
  const runs = site.recordedStarts();
  assert.ok(runs >= JOBS * TASKS, `${runs} runs`);
  assert.deepEqual(site.history.check(), []);
  assert.equal(site.leader(), leader);
  return {
    callsPerRun: (calls() - before.calls) / runs,
    messagesPerCall: site.peers.batches / site.peers.proxied,
    timersPerRun: (site.timersOf(leader) - before.timers) / runs,
  };
}

test('a saturated leader makes hardly any call to workers itself', async () => {
  const { callsPerRun, messagesPerCall } = await leadJobs(true);
  assert.ok(callsPerRun < 0.05, `${callsPerRun} calls a run`);
  assert.ok(messagesPerCall < 0.5, `${messagesPerCall} messages a call`);
});

test('a leader with time to spare calls workers itself', async () => {
  const { callsPerRun, messagesPerCall } = await leadJobs(false);
  assert.ok(callsPerRun >= 1, `${callsPerRun} calls a run`);
  assert.ok(Number.isNaN(messagesPerCall));
});

// Each stays on the heap until it is due, so that the collector copies it and what it refers to more than once.
test('a saturated leader leaves few timers for each run', async () => {
  const { timersPerRun } = await leadJobs(true);
  assert.ok(timersPerRun < 1, `${timersPerRun} timers a run`);
});
