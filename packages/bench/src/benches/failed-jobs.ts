/** Daemon processes under faults: which jobs are shown as failed without a cause. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';

import { ARMS, type Arm } from '../failed-jobs/fault-plan.js';
import { runUnderFaults } from '../failed-jobs/run.js';
import { summarize } from '../failed-jobs/summary.js';
import { createProcessGroup } from '../processes/process-group.js';

/** Runs `--arm` (all four without it) with `--seeds` seeds from `--seed` on, `--seconds` each. */
export async function run(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      arm: { type: 'string' },
      seed: { type: 'string', default: '1' },
      seeds: { type: 'string', default: '1' },
      seconds: { type: 'string', default: '30' },
      directory: { type: 'string' },
    },
  });
  const directory =
    values.directory ?? mkdtempSync(join(tmpdir(), 'paddlewind-failed-jobs-'));
  const group = createProcessGroup();
  for (let at = 0; at < Number(values.seeds); at += 1) {
    for (const arm of armsOf(values.arm)) {
      const seed = Number(values.seed) + at;
      const seconds = Number(values.seconds);
      const report = await runUnderFaults({
        arm,
        seed,
        seconds,
        group,
        directory,
      });
      process.stdout.write(`${JSON.stringify(summarize(report))}\n`);
      process.exitCode = report.unfounded.length > 0 ? 1 : process.exitCode;
    }
  }
  await group.close();
  process.exit();
}

function armsOf(name: string | undefined): readonly Arm[] {
  return ARMS.filter(arm => name === undefined || arm === name);
}
