/**
 * The demo: requests and batch jobs over three entry hosts, one of which is killed on the way, and
 * after them jobs of steps over three hosts on the stand-in of the users' platform.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createProcessGroup } from '../processes/process-group.js';
import { runDemo, type DemoOptions } from './run.js';
import { runDemoOnPlatform } from './run-on-platform.js';

/** The demo gives up after this time, in milliseconds. */
const LIMIT_MS = 75_000;

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
  const failures = await runAll({ directory, group, say });
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

/** Runs both parts; resolves to what went wrong in them. */
async function runAll(options: DemoOptions): Promise<string[]> {
  const failures: string[] = [];
  for (const run of [runDemo, runDemoOnPlatform]) {
    const found = await run(options).catch((err: unknown) => [
      err instanceof Error ? err.message : String(err),
    ]);
    failures.push(...found);
  }
  return failures;
}

await main();
