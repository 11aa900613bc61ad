/** A burst of cancellations in one shard while starts go on. */
import { decision, seededRandom } from '@paddlewind/domain';

import { report } from '../report.js';

import {
  commit,
  endSome,
  newShardLoop,
  planOnce,
  submitJob,
  type ShardLoop,
} from './shard-loop.js';
import { SHARD_WORKERS } from './workload.js';

const JOBS = 10_000;
const TASKS_PER_JOB = 10;
const CANCELS_PER_ENTRY = 100;
const ENDS_PER_ENTRY = 4;
const FILL_PLANS = 20;

/** Cancels 10,000 waiting and running jobs between plans, and prints the processor time. */
export function measureCancellations(seed: number): void {
  const loop = newShardLoop('cancel', SHARD_WORKERS, seededRandom(seed));
  for (let i = 0; i < JOBS; i++) {
    submitJob(loop, TASKS_PER_JOB);
  }
  for (let i = 0; i < FILL_PLANS; i++) {
    planOnce(loop);
  }
  const startsBefore = loop.starts;
  const planUs: number[] = [];
  let cancelUs = 0;
  for (let first = 0; first < JOBS; first += CANCELS_PER_ENTRY) {
    cancelUs += timed(() => {
      cancel(loop, first);
    });
    endSome(loop, ENDS_PER_ENTRY);
    submitJob(loop, ENDS_PER_ENTRY);
    planUs.push(
      timed(() => {
        planOnce(loop);
      }),
    );
  }
  planUs.sort((a, b) => a - b);
  report({
    bench: 'placement',
    part: 'cancellations',
    seed,
    jobs: JOBS,
    cpuUsPerCancellation: Math.round((cancelUs / JOBS) * 10) / 10,
    planP50Us: planUs[Math.floor(planUs.length / 2)] ?? null,
    planMaxUs: planUs.at(-1) ?? null,
    startsMeanwhile: loop.starts - startsBefore,
  });
}

function cancel(loop: ShardLoop, first: number): void {
  const names = Array.from(
    { length: CANCELS_PER_ENTRY },
    (_, i) => `${loop.view.shard}-j${first + i}`,
  );
  commit(
    loop,
    names.map(job => decision('job_cancelled', { job })),
  );
}

function timed(work: () => void): number {
  const from = process.cpuUsage();
  work();
  const { user, system } = process.cpuUsage(from);
  return user + system;
}
