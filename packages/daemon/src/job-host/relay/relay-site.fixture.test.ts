/** A site whose leader has other hosts send all starts, beside a lasting job and jobs of short tasks. */
import assert from 'node:assert/strict';

import type { Millis } from '@paddlewind/domain';
import { FaultTimes } from '@paddlewind/stand-ins/jobs';

import { Simulation } from '../simulation.fixture.test.js';

/** Hosts, of which one leads and the others send its starts. */
export const RELAY_HOSTS = ['h1', 'h2', 'h3', 'h4', 'h5'];
/** Machines of the workers. */
export const RELAY_WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'];
/** The job that lasts, and its number of tasks. */
export const LASTING_JOB = '00000000000000c1';
export const LASTING_TASKS = 8;
const SHORT_JOBS = 30;
const SHORT_EVERY_MS = 700;
const SHORT_RUN_MS = 400;
/** Every third job is cancelled soon after it was asked for. */
const CANCEL_EACH = 3;
const CANCEL_AFTER_MS = 250;
/** Time until a host leads, and others have offered to stand by. */
const SETTLE_MS = 6_500;
const CALM_MS = 15_000;

/** Returns hosts beside the one that leads now. */
export function relaysOf(site: Simulation): string[] {
  return RELAY_HOSTS.filter(name => name !== site.leader());
}

/** Notes that what belongs to a host is disturbed for `span`. */
export function noteFault(site: Simulation, host: string, span: Millis): void {
  const from = site.time.clock();
  site.history.faults?.add({ from, until: from + span, of: { host } });
}

/** Plays jobs while `disturb` does what it likes; returns the site once all should be done. */
export async function playRelayed(
  seed: number,
  disturb: (site: Simulation) => void | Promise<void>,
): Promise<Simulation> {
  const site = new Simulation(seed, { relaysAll: true });
  site.history.faults = new FaultTimes();
  RELAY_WORKERS.forEach(name => {
    site.addWorker(name);
  });
  RELAY_HOSTS.forEach(name => site.startHost(name));
  await site.time.advance(SETTLE_MS);
  const step = { tasks: LASTING_TASKS, after: [], lasting: true };
  void site.submit(LASTING_JOB, [step], { runMs: 10_000_000, failures: 0 });
  await site.time.advance(1_000);
  void submitShortJobs(site);
  void disturb(site);
  await site.time.advance(SHORT_JOBS * SHORT_EVERY_MS + CALM_MS);
  return site;
}

async function submitShortJobs(site: Simulation): Promise<void> {
  for (let at = 0; at < SHORT_JOBS; at += 1) {
    void submitShort(site, at);
    await site.wait(SHORT_EVERY_MS);
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

/** Asserts that every promise was kept, that all that was not cancelled is done, and that others sent starts. */
export function assertServed(site: Simulation, note: string): void {
  const { history } = site;
  assert.deepEqual(history.check(), [], note);
  const all = Array.from({ length: SHORT_JOBS }, (_, at) => at);
  const asked = all.filter(at => at % CANCEL_EACH !== 0).map(shortJob);
  const unfinished = asked.filter(id => !history.isDone(id));
  assert.deepEqual(unfinished, [], note);
  assert.equal(history.runningOf(LASTING_JOB), LASTING_TASKS, note);
  assert.ok(site.peers.relays > 0, note);
}
