/*
 * Guards against a job that is shown as failed although no task has failed as often as its queue allows: an end
 * as failed that workers list again, since its acknowledgement was lost or its leader was replaced, counts once.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { decodeJournal } from '@paddlewind/domain/jobs';
import type { LogMode } from '@paddlewind/stand-ins/jobs';

import { Simulation, type TestStep } from './simulation.fixture.test.js';

const JOB = '00000000000000d4';
const HOSTS = ['h1', 'h2', 'h3'];
const WORKERS = ['w1', 'w2', 'w3'];
/** One less than the queue allows. */
const FAILURES = 2;
const ROUNDS = 40;
const ROUND_MS = 500;
const KILL_EVERY_ROUNDS = 11;
const RESTART_MS = 700;
/** Time in which leases expire, a host leads and the job is done. */
const RECOVERY_MS = 30_000;
const MODES: readonly LogMode[] = ['up', 'up', 'losing', 'refusing', 'silent'];

/** Loses answers of the log and of workers, and kills leaders. */
async function disturb(site: Simulation): Promise<void> {
  const { fleet, log, random, time } = site;
  for (let round = 1; round <= ROUNDS; round += 1) {
    for (const host of HOSTS) {
      log.hostModes.set(
        host,
        MODES[Math.floor(random() * MODES.length)] ?? 'up',
      );
      for (const worker of WORKERS) {
        const link = `${host}>${worker}`;
        fleet.brokenLinks.delete(link);
        if (random() < 0.2) {
          fleet.brokenLinks.add(link);
        }
      }
    }
    if (round % KILL_EVERY_ROUNDS === 0) {
      const name = site.leader();
      site.kill(name);
      time.schedule(RESTART_MS, () => site.startHost(name));
    }
    await queryAll(site);
  }
  log.hostModes.clear();
  fleet.brokenLinks.clear();
}

/** Queries the state of the job on each host, and waits for the next round. */
async function queryAll({ hosts, history, time }: Simulation): Promise<void> {
  const askedAt = time.clock();
  for (const { host } of hosts.values()) {
    void host.service.status(JOB).then(result => {
      if (result.kind === 'known') {
        history.recordStatus(JOB, askedAt, result.status);
      }
    });
  }
  await time.advance(ROUND_MS);
}

const SHAPES: Readonly<Record<string, Partial<TestStep>>> = {
  tasks: {},
  gang: { gang: true },
  copies: { speculative: true },
};

for (const [shape, step] of Object.entries(SHAPES)) {
  test(`no job fails for ends that are listed again: ${shape}`, async () => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const site = new Simulation(seed);
      WORKERS.forEach(name => {
        site.addWorker(name);
      });
      HOSTS.forEach(name => site.startHost(name));
      await site.time.advance(3_000);
      const gang = step.gang === true ? { gang: 2 } : {};
      const script = { runMs: 900, failures: FAILURES, ...gang };
      void site.submit(JOB, [{ tasks: 2, after: [], ...step }], script);
      await disturb(site);
      await site.time.advance(RECOVERY_MS);
      await queryAll(site);
      assert.deepEqual(site.history.check(), []);
      assert.ok(!site.history.reportedStates(JOB).includes('failed'));
      assert.ok(site.history.isDone(JOB), `seed ${seed}`);
      const ends = site.log.recordsOf('journal').map(decodeJournal);
      const failed = ends.filter(
        record => record?.kind === 'end' && record.how === 'failed',
      );
      assert.ok(failed.length <= 2 * FAILURES);
    }
  });
}
