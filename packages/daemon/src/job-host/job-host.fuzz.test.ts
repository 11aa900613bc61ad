import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobStream } from '@paddlewind/ports/jobs';
import fc from 'fast-check';

import { Simulation } from './simulation.fixture.test.js';

const HOSTS = ['h1', 'h2', 'h3'];
const WORKERS = ['w1', 'w2', 'w3', 'w4'];
const STORM_MS = 16_000;
/** Time that orders take at a worker that lags: just below their timeout. */
const LAG_MS = 450;
/** After the last fault: leases lapse, leaders change, and the work that is left is done. */
const CALM_MS = 60_000;

const host = fc.constantFrom(...HOSTS);
const worker = fc.constantFrom(...WORKERS);
const span = fc.integer({ min: 300, max: 6_000 });

type Fault =
  | { kind: 'kill' | 'freeze' | 'stop'; host: string; span: number }
  | {
      kind: 'log';
      host: string;
      mode: 'refusing' | 'silent' | 'losing';
      span: number;
    }
  | { kind: 'stream'; stream: JobStream; span: number }
  | { kind: 'cut'; host: string; worker: string; span: number }
  | { kind: 'slow'; host: string; eventMs: number; span: number }
  | { kind: 'link'; host: string; bytesPerMs: number; span: number }
  | {
      kind: 'crash' | 'hang' | 'fail' | 'leave' | 'lag';
      worker: string;
      span: number;
    }
  | { kind: 'late'; share: number; span: number };

const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('kill' as const, 'freeze' as const, 'stop' as const),
    host,
    span,
  }),
  fc.record({
    kind: fc.constant('log' as const),
    host,
    mode: fc.constantFrom(
      'refusing' as const,
      'silent' as const,
      'losing' as const,
    ),
    span,
  }),
  fc.record({
    kind: fc.constant('stream' as const),
    stream: fc.constantFrom('inbox' as const, 'journal' as const),
    span,
  }),
  fc.record({ kind: fc.constant('cut' as const), host, worker, span }),
  fc.record({
    kind: fc.constantFrom(
      'crash' as const,
      'hang' as const,
      'fail' as const,
      'leave' as const,
      'lag' as const,
    ),
    worker,
    span,
  }),
  fc.record({
    kind: fc.constant('slow' as const),
    host,
    eventMs: fc.constantFrom(5, 30, 60),
    span,
  }),
  fc.record({
    kind: fc.constant('link' as const),
    host,
    bytesPerMs: fc.constantFrom(1, 5),
    span,
  }),
  fc.record({
    kind: fc.constant('late' as const),
    share: fc.constantFrom(0.1, 0.4),
    span,
  }),
);

const job = fc.record({
  at: fc.integer({ min: 0, max: STORM_MS }),
  widths: fc.array(fc.integer({ min: 1, max: 5 }), {
    minLength: 1,
    maxLength: 3,
  }),
  runMs: fc.integer({ min: 50, max: 3_000 }),
  failures: fc.constantFrom(0, 0, 0, 1),
  speculative: fc.boolean(),
  cancelAfter: fc.option(fc.integer({ min: 0, max: 5_000 }), { freq: 4 }),
});

const plan = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  jobs: fc.array(job, { minLength: 2, maxLength: 8 }),
  faults: fc.array(
    fc.record({ at: fc.integer({ min: 500, max: STORM_MS }), fault }),
    { minLength: 1, maxLength: 8 },
  ),
});

type Plan = typeof plan extends fc.Arbitrary<infer T> ? T : never;

function strike(site: Simulation, found: Fault): void {
  const { time, fleet, log } = site;
  switch (found.kind) {
    case 'kill':
      site.kill(found.host);
      time.schedule(found.span, () => site.startHost(found.host));
      return;
    case 'stop':
      void site.hosts.get(found.host)?.host.handOver(3_000);
      time.schedule(3_500, () => {
        site.kill(found.host);
        site.startHost(found.host);
      });
      return;
    case 'freeze':
      site.freeze(found.host, found.span);
      return;
    case 'log':
      log.modes.set(found.host, found.mode);
      time.schedule(found.span, () => log.modes.delete(found.host));
      return;
    case 'stream':
      log.streamModes.set(found.stream, 'refusing');
      time.schedule(found.span, () => log.streamModes.delete(found.stream));
      return;
    case 'cut': {
      const pair = `${found.host}>${found.worker}`;
      fleet.cuts.add(pair);
      time.schedule(found.span, () => fleet.cuts.delete(pair));
      return;
    }
    case 'crash':
      fleet.crash(found.worker);
      time.schedule(found.span, () => {
        if (fleet.at(found.worker) === undefined) {
          site.addWorker(found.worker);
        }
      });
      return;
    case 'leave':
      fleet.announceLeave(found.worker);
      time.schedule(found.span, () => {
        fleet.crash(found.worker);
        site.addWorker(found.worker);
      });
      return;
    case 'lag':
      fleet.slowness.set(found.worker, LAG_MS);
      time.schedule(found.span, () => fleet.slowness.delete(found.worker));
      return;
    case 'slow':
      site.slow(found.host, found.eventMs);
      time.schedule(found.span, () => {
        site.slow(found.host, 0);
      });
      return;
    case 'link':
      log.links.set(found.host, found.bytesPerMs);
      time.schedule(found.span, () => log.links.delete(found.host));
      return;
    case 'hang':
    case 'fail':
      disturb(site, found.kind, found.worker, found.span);
      return;
    case 'late':
      fleet.lateShare = found.share;
      time.schedule(found.span, () => {
        fleet.lateShare = 0;
      });
      return;
  }
}

function disturb(
  site: Simulation,
  kind: 'hang' | 'fail',
  name: string,
  forMs: number,
): void {
  const found = site.fleet.at(name);
  const field = kind === 'hang' ? 'hanging' : 'failing';
  if (found !== undefined) {
    found[field] = true;
    site.time.schedule(forMs, () => {
      found[field] = false;
    });
  }
}

async function play({ seed, jobs, faults }: Plan): Promise<Simulation> {
  const site = new Simulation(seed);
  WORKERS.forEach(name => {
    site.addWorker(name);
  });
  HOSTS.forEach(name => site.startHost(name));
  jobs.forEach((asked, index) => {
    const { at, widths, runMs, failures, speculative, cancelAfter } = asked;
    const id = index.toString(16).padStart(16, '0');
    const steps = widths.map((tasks, step) => ({
      tasks,
      after: step === 0 ? [] : [step - 1],
      speculative,
    }));
    site.time.schedule(at, () => {
      void site.submit(id, steps, { runMs, failures }).then(async () => {
        if (cancelAfter !== null) {
          await site.wait(cancelAfter);
          await site.cancel(id);
        }
      });
    });
  });
  for (const { at, fault: found } of faults) {
    site.time.schedule(at, () => {
      strike(site, found);
    });
  }
  await site.time.advance(STORM_MS + CALM_MS);
  return site;
}

function judge(site: Simulation, { jobs, faults }: Plan): void {
  assert.deepEqual(site.history.check(), []);
  // A run that fails counts as an attempt, so that jobs may fail where workers do.
  const workersFail = faults.some(({ fault: { kind } }) => kind === 'fail');
  jobs.forEach(({ cancelAfter }, index) => {
    const id = index.toString(16).padStart(16, '0');
    if (cancelAfter === null && !workersFail) {
      assert.ok(site.history.isDone(id), `job ${id} is not done`);
    }
  });
}

test('promises hold under random faults', async () => {
  await fc.assert(
    fc.asyncProperty(plan, async found => {
      judge(await play(found), found);
    }),
    {
      numRuns: Number(process.env.FUZZ_RUNS ?? 12),
      seed: Number(process.env.FUZZ_SEED ?? 20261202),
      endOnFailure: process.env.FUZZ_SHRINK === undefined,
    },
  );
});
