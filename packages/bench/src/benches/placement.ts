/** Benchmark of placement: `npm run bench -- placement [throughput|packing|waits|cancellations]`. */
import { measureCancellations } from '../placement/cancellations.js';
import { measurePacking } from '../placement/packing.js';
import { measureThroughput } from '../placement/throughput.js';
import { measureWaits } from '../placement/waits.js';
import { SHARD_WORKERS } from '../placement/workload.js';

const SEEDS = [1, 2, 3];
const SCALES = [1, 3, 10];
const SHARD_SIZES = [111, 370];
const BACKLOG = 100;

/** Runs the parts named in `args`, or all. */
export function run(args: readonly string[]): Promise<void> {
  const wanted = (part: string) => args.length === 0 || args.includes(part);
  if (wanted('throughput')) {
    runThroughput();
  }
  if (wanted('packing')) {
    SEEDS.forEach(measurePacking);
  }
  if (wanted('waits')) {
    SEEDS.forEach(measureWaits);
  }
  if (wanted('cancellations')) {
    SEEDS.forEach(measureCancellations);
  }
  return Promise.resolve();
}

function runThroughput(): void {
  const common = { shardWorkers: SHARD_WORKERS, seed: 1 };
  for (const backlog of [0, BACKLOG]) {
    for (const scale of SCALES) {
      measureThroughput({ ...common, scale, backlog });
    }
  }
  for (const shardWorkers of SHARD_SIZES) {
    const setting = { scale: 1, backlog: BACKLOG, seed: 1 };
    measureThroughput({ ...setting, shardWorkers });
  }
}
