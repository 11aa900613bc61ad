/**
 * One third of a large deployment, with callers, in which the leader's link carries the load only
 * if other hosts send its starts.
 */
import assert from 'node:assert/strict';

import type { Instant, Millis } from '@paddlewind/domain';
import { FaultTimes } from '@paddlewind/stand-ins/jobs';

import { Simulation } from '../simulation.fixture.test.js';

/**
 * A third of 102 workers, 250 starts a second (400 at a peak) and 16 connections. The link barely
 * carries the steady load, though it exceeds a third of 2 Mbit/s, since the call sizes here are
 * coarse.
 */
const LINK_BYTES_PER_S = 110_000;
/** A third of 2 Mbit/s, which the steady load fills completely. */
export const FULL_LINK_BYTES_PER_S = 85_000;
const CONNECTIONS = 5;
const WORKERS = 34;
const HOSTS = 10;
const PAYLOAD = 'x'.repeat(1_060);
const LONG_RUNNING_JOB = '00000000000000a1';
const LONG_RUNNING_TASKS = 12;
const JOB_TASKS = 10;
const RUN_MS = 300;
/** Jobs per second that the deployment carries easily, barely and not at all: 60 to 133 starts. */
export const LIGHT_JOBS_PER_S = 6;
export const STEADY_JOBS_PER_S = 8;
export const OVERLOAD_JOBS_PER_S = 11;
export const PEAK_JOBS_PER_S = 13.3;
/** Time until a host leads, others are standbys and long-running tasks run. */
const SETTLE_MS = 8_000;
/** Deadline of a job: its terms allow twice the run time of its tasks, plus half a second. */
const DEADLINE_MS: Millis = 2 * 1_000 + 500;
/** Maximum share of late jobs in any second: callers are served in nine of ten cases. */
const MAX_LATE_SHARE = 0.1;
const CALM_MS = 15_000;
const RESTART_MS = 1_500;
const MS_PER_S = 1_000;

/** A period of load, in jobs per second. */
export interface Load {
  readonly jobsPerS: number;
  readonly ms: Millis;
}

interface SubmittedJob {
  readonly id: string;
  readonly at: Instant;
}

/** A deployment and the jobs that its callers submitted. */
export class OverloadedDeployment {
  readonly site: Simulation;
  readonly submitted: SubmittedJob[] = [];

  /** Creates a deployment whose randomness is derived from `seed`. */
  constructor(seed: number, linkBytesPerS = LINK_BYTES_PER_S) {
    this.site = new Simulation(seed, {
      linkBytesPerS,
      relayAllStarts: false,
      wire: { inBytesPerS: linkBytesPerS, connections: CONNECTIONS },
    });
    this.site.history.faults = new FaultTimes();
    for (let at = 0; at < WORKERS; at += 1) {
      this.site.addWorker(`w${at}`);
    }
    for (let at = 0; at < HOSTS; at += 1) {
      this.site.startHost(`h${at}`);
    }
  }

  /** Starts the long-running tasks. */
  async settle(): Promise<void> {
    await this.site.time.advance(SETTLE_MS / 2);
    const steps = [{ tasks: LONG_RUNNING_TASKS, after: [], lasting: true }];
    const script = { runMs: 10_000_000, failures: 0, payload: PAYLOAD };
    void this.site.submit(LONG_RUNNING_JOB, steps, script);
    await this.site.time.advance(SETTLE_MS / 2);
  }

  /** Submits jobs at a constant rate; returns when it started. */
  async load(stretches: readonly Load[]): Promise<Instant> {
    const from = this.site.time.clock();
    for (const { jobsPerS, ms } of stretches) {
      const jobs = Math.round((jobsPerS * ms) / MS_PER_S);
      for (let at = 0; at < jobs; at += 1) {
        this.submitJob();
        await this.site.time.advance(ms / jobs);
      }
    }
    return from;
  }

  /** Waits until the remaining work can be done. */
  async recover(): Promise<void> {
    await this.site.time.advance(CALM_MS);
  }

  /** Freezes the process of a host for `span`. */
  freeze(name: string, span: Millis): void {
    this.recordFault(name, span);
    this.site.freeze(name, span);
  }

  /** Delays starts on their way to one of the standbys. */
  delayOneStandby(span: Millis): void {
    const [slow = assert.fail()] = this.others();
    this.site.peers.startDelays.set(slow, span);
  }

  /** Kills the leader and restarts it soon; by then another host leads and jobs wait. */
  replaceLeader(): void {
    const name = this.site.leader();
    this.recordFault(name, RESTART_MS);
    this.site.kill(name);
    this.site.time.schedule(RESTART_MS, () => this.site.startHost(name));
  }

  /** Returns the hosts that do not lead now. */
  others(): string[] {
    const leader = this.site.leader();
    return [...this.site.hosts.keys()].filter(name => name !== leader);
  }

  /** Returns the share of jobs submitted from `from` to `until` that did not start in time. */
  lateShare(from: Instant, until: Instant): number {
    const begins = this.site.history.firstStarts();
    const submitted = this.submitted.filter(
      ({ at }) => at >= from && at < until,
    );
    const late = submitted.filter(
      ({ id, at }) => (begins.get(id) ?? Infinity) - at > DEADLINE_MS,
    );
    return late.length / Math.max(1, submitted.length);
  }

  /** Asserts that jobs of this period start as promptly as callers are promised. */
  assertPrompt(from: Instant, until: Instant, note: string): void {
    const share = this.lateShare(from, until);
    assert.ok(
      share <= MAX_LATE_SHARE,
      `${note}: ${share.toFixed(2)} begin late`,
    );
  }

  /** Asserts that all jobs are done, long-running tasks run and no guarantee was broken. */
  assertAllDone(note: string): void {
    const { history } = this.site;
    const unfinished = history
      .unfinished()
      .filter(id => id !== LONG_RUNNING_JOB);
    assert.deepEqual(unfinished, [], note);
    assert.equal(
      history.countActiveRuns(LONG_RUNNING_JOB),
      LONG_RUNNING_TASKS,
      note,
    );
    assert.deepEqual(history.check(), [], note);
    assert.ok(this.site.peers.relays > 0, note);
  }

  private recordFault(host: string, span: Millis): void {
    const from = this.site.time.clock();
    this.site.history.faults?.add({ from, until: from + span, of: { host } });
  }

  private submitJob(): void {
    const id = `b${this.submitted.length.toString(16).padStart(15, '0')}`;
    this.submitted.push({ id, at: this.site.time.clock() });
    const steps = [{ tasks: JOB_TASKS, after: [] }];
    const script = { runMs: RUN_MS, failures: 0, payload: PAYLOAD };
    void this.site.submit(id, steps, script);
  }
}
