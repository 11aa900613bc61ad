/** What renewing tasks at workers takes: bytes of one sync by the attempts on the worker. */
import type { SyncRequest, WorkerReport } from '@paddlewind/ports';

import { measure } from './measure.js';

/** 74,000 tasks on 3,100 workers. */
const DESIGNED_ATTEMPTS = 24;

function refOf(index: number) {
  return { task: `statements-november/${index}`, attempt: 1 };
}

function requestOf(attempts: number): SyncRequest {
  return {
    fence: { shard: 'salem-12', epoch: 7, offset: 1_234_567 },
    renew: Array.from({ length: attempts }, (_, i) => refOf(i)),
    leaseMs: 15_000,
    acknowledge: [],
  };
}

function reportOf(attempts: number): WorkerReport {
  return {
    worker: 'worker-1234',
    boot: '00000000-0000-0000-0000-000000000000',
    lagMs: 30_000,
    attempts: Array.from({ length: attempts }, (_, i) => ({
      ...refOf(i),
      job: 'statements-november',
      state: 'running',
      usage: { cpu: 1.234, memoryMiB: 4_321, accelerators: 0 },
      progress: 0.4321,
      checkpoint: `checkpoint-${i}`,
    })),
  };
}

/** Measures the role. */
export function measureWorkerSync(): void {
  const common = {
    role: 'worker sync',
    per: 'attempts on the worker',
    unit: 'bytes',
    sizes: [6, 12, 24, 48],
    designed: DESIGNED_ATTEMPTS,
  };
  measure({
    ...common,
    quantity: 'renewal',
    at: attempts => JSON.stringify(requestOf(attempts)).length,
  });
  measure({
    ...common,
    quantity: 'report',
    at: attempts => JSON.stringify(reportOf(attempts)).length,
  });
}
