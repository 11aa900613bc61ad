/*
 * Guards against jobs that crash every worker which starts them and are started on and on, since several of
 * them at once hide each other: each takes the losses of the others for a common cause.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  crashingJob,
  deploymentWithNeighbours,
  killLeaders,
  MAX_CRASHES,
  OBSERVATION_MS,
  WORKER_RESTART_MS,
} from './crashing-deployment.fixture.test.js';
import { disconnectStore } from './crashes-in-series.fixture.test.js';

interface Together {
  readonly name: string;
  readonly jobs: number;
  readonly afterMs: number;
  readonly workerRestartMs: number;
  readonly lasting?: boolean;
  readonly keepsIds?: boolean;
  readonly killEveryMs?: number;
  readonly storeOutage?: boolean;
}

const PLAIN = { afterMs: 10, workerRestartMs: WORKER_RESTART_MS };
const CASES: readonly Together[] = [
  { ...PLAIN, name: 'three', jobs: 3 },
  { ...PLAIN, name: 'four', jobs: 4 },
  { ...PLAIN, name: 'six', jobs: 6 },
  { ...PLAIN, name: 'four, away for long', jobs: 4, workerRestartMs: 6_000 },
  { ...PLAIN, name: 'four, same ids', jobs: 4, keepsIds: true },
  {
    ...PLAIN,
    name: 'four, same ids, at once',
    jobs: 4,
    keepsIds: true,
    workerRestartMs: 30,
  },
  { ...PLAIN, name: 'four lasting', jobs: 4, lasting: true, afterMs: 900 },
  { ...PLAIN, name: 'four, leaders killed', jobs: 4, killEveryMs: 5_000 },
  { ...PLAIN, name: 'four, store away', jobs: 4, storeOutage: true },
];

function jobId(at: number): string {
  return `00000000000001${at.toString(16).padStart(2, '0')}`;
}

async function play(found: Together, seed: number): Promise<string[]> {
  const { jobs, afterMs, workerRestartMs, lasting, keepsIds } = found;
  const site = await deploymentWithNeighbours(seed, workerRestartMs, keepsIds);
  if (found.killEveryMs !== undefined) {
    void killLeaders(site, found.killEveryMs);
  }
  if (found.storeOutage === true) {
    site.time.schedule(8_000, () => {
      disconnectStore(site, 'refusing', 3_000);
    });
  }
  const ids = Array.from({ length: jobs }, (_, at) => jobId(at));
  for (const id of ids) {
    const step = lasting === true ? { lasting } : {};
    const { steps, script } = crashingJob(afterMs, step);
    void site.submit(id, steps, script);
  }
  await site.time.advance(OBSERVATION_MS);
  return ids.flatMap(id => {
    const crashes = site.history.workersCrashedBy(id);
    const states = site.history
      .reportedStates(id)
      .filter(status => status !== 'no_such_job');
    const isOver = states.at(-1) === 'failed';
    return crashes > MAX_CRASHES || !isOver
      ? [
          `${found.name}, seed ${seed}: ${id} lost ${crashes} workers, shown as ${states.join(', ')}`,
        ]
      : [];
  });
}

for (const found of CASES) {
  test(`jobs that crash their workers together are abandoned: ${found.name}`, async () => {
    const broken: string[] = [];
    for (const seed of [1, 2, 3]) {
      broken.push(...(await play(found, seed)));
    }
    assert.deepEqual(broken, []);
  });
}
