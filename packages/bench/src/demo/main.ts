/** The demo: real requests and batch jobs over three entry hosts, one of which is killed on the way. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createProcessGroup } from '../processes/process-group.js';
import { runDemo } from './run.js';

/** The demo gives up after this time, in milliseconds. */
const LIMIT_MS = 38_000;

async function main(): Promise<void> {
  const directory = mkdtempSync(join(tmpdir(), 'paddlewind-demo-'));
  const group = createProcessGroup();
  const startedAt = performance.now();
  const say = (text: string): void => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
    process.stdout.write(`demo: ${seconds} s: ${text}\n`);
  };
  setTimeout(() => {
    process.stdout.write('demo: not done in time\n');
    process.exit(1);
  }, LIMIT_MS).unref();
  const failures = await runDemo({ directory, group, say }).catch(
    (err: unknown) => [err instanceof Error ? err.message : String(err)],
  );
  await group.close();
  if (failures.length === 0) {
    rmSync(directory, { recursive: true });
    process.stdout.write('demo: ok\n');
    process.exit(0);
  }
  failures.forEach(failure => process.stdout.write(`demo: ${failure}\n`));
  process.stdout.write(`demo: failed; logs are in ${directory}\n`);
  process.exit(1);
}

await main();
