/**
 * A simulated deployment whose leader has other hosts send all starts, with a long-running job and
 * jobs of short tasks.
 */
import assert from 'node:assert/strict';

import type { Millis } from '@paddlewind/domain';
import { FaultTimes } from '@paddlewind/stand-ins/jobs';

import { Simulation } from '../simulation.fixture.test.js';

/** Hosts; one leads and the others send its starts. */
export const RELAY_HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5'];
/** Machines of the workers. */
export const RELAY_WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'];
/** The long-running job and its number of tasks. */
export const LONG_RUNNING_JOB = '00000000000000c1';
export const LONG_RUNNING_TASKS = 8;
const SHORT_JOBS = 30;
const SHORT_JOB_INTERVAL_MS = 700;
const SHORT_RUN_MS = 400;
/** Every third job is cancelled soon after its submission. */
const CANCEL_EACH = 3;
const CANCEL_AFTER_MS = 250;
/** Time until a host leads and others have offered to be standbys. */
const SETTLE_MS = 6_500;
const RECOVERY_MS = 15_000;

/** Returns the hosts that do not lead now. */
export function relaysOf(site: Simulation): string[] {
  return RELAY_HOSTS.filter(name => name !== site.leader());
}

/** Records that a host is disturbed for `span`. */
export function recordFault(
  site: Simulation,
  host: string,
  span: Millis,
): void {
  const from = site.time.clock();
  site.history.faults?.add({ from, until: from + span, of: { host } });
}

/** Runs jobs while `disturb` injects faults; returns the deployment once all jobs should be done. */
export function runWithRelays(
  seed: number,
  disturb: (site: Simulation) => void | Promise<void>,
): Promise<Simulation> {
  return runDisturbed(new Simulation(seed, { relayAllStarts: true }), disturb);
}

/** The same where no host has time to spare, so that others call workers for the leader. */
export function runWithProxies(
  seed: number,
  disturb: (site: Simulation) => void | Promise<void>,
): Promise<Simulation> {
  const options = { relayAllStarts: false, saturated: true };
  return runDisturbed(new Simulation(seed, options), disturb);
}

async function runDisturbed(
  site: Simulation,
  disturb: (site: Simulation) => void | Promise<void>,
): Promise<Simulation> {
  site.history.faults = new FaultTimes();
  RELAY_WORKERS.forEach(name => {
    site.addWorker(name);
  });
  RELAY_HOSTS.forEach(name => site.startHost(name));
  await site.time.advance(SETTLE_MS);
  const step = { tasks: LONG_RUNNING_TASKS, after: [], lasting: true };
  void site.submit(LONG_RUNNING_JOB, [step], {
    runMs: 10_000_000,
    failures: 0,
  });
  await site.time.advance(1_000);
  void submitShortJobs(site);
  void disturb(site);
  await site.time.advance(SHORT_JOBS * SHORT_JOB_INTERVAL_MS + RECOVERY_MS);
  return site;
}

async function submitShortJobs(site: Simulation): Promise<void> {
  for (let at = 0; at < SHORT_JOBS; at += 1) {
    void submitShort(site, at);
    await site.wait(SHORT_JOB_INTERVAL_MS);
  }
}

async function submitShort(site: Simulation, at: number): Promise<void> {
  const steps = [{ tasks: 6, after: [] }];
  const script = { runMs: SHORT_RUN_MS, failures: 0 };
  await site.submit(shortJob(at), steps, script);
  if (at % CANCEL_EACH === 0) {
    await site.wait(CANCEL_AFTER_MS);
    await site.cancel(shortJob(at));
  }
}

function shortJob(at: number): string {
  return `d${at.toString(16).padStart(15, '0')}`;
}

/** Asserts that every guarantee was kept, all jobs are done, and other hosts sent starts. */
export function assertAllServed(site: Simulation, note: string): void {
  assertServed(site, note);
  assert.ok(site.peers.relays > 0, note);
}

/** Asserts that every guarantee was kept and all jobs that were not cancelled are done. */
export function assertServed(site: Simulation, note: string): void {
  const { history } = site;
  assert.deepEqual(history.check(), [], note);
  const all = Array.from({ length: SHORT_JOBS }, (_, at) => at);
  const expected = all.filter(at => at % CANCEL_EACH !== 0).map(shortJob);
  const unfinished = expected.filter(id => !history.isDone(id));
  assert.deepEqual(unfinished, [], note);
  assert.equal(
    history.countActiveRuns(LONG_RUNNING_JOB),
    LONG_RUNNING_TASKS,
    note,
  );
}
