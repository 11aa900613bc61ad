import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type TestContext } from 'node:test';

import { createRecorder } from '../../cluster/recorder.js';
import { stopEntry } from '../../cluster/entry-faults.js';
import { createProcessGroup } from '../../processes/process-group.js';
import { until } from '../../processes/until.js';
import { gracefulStopCheck } from '../checks/graceful-stop.js';

const WAIT = 'setInterval(() => {}, 1000); console.log("up");';
const GRACEFUL = `process.once("SIGTERM", () => process.exit(0)); ${WAIT}`;

/** Runs `script`, asks it to stop and returns the check's messages. */
async function stop(t: TestContext, script: string): Promise<string[]> {
  const directory = mkdtempSync(join(tmpdir(), 'paddlewind-test-'));
  const group = createProcessGroup();
  t.after(async () => {
    await group.close();
    rmSync(directory, { recursive: true });
  });
  const logFile = join(directory, 'log');
  const args = ['-e', script];
  const child = group.start({ name: 'e1', args, logFile });
  const isUp = () => readFileSync(logFile, 'utf8').includes('up') || undefined;
  await until(() => {
    try {
      return isUp();
    } catch {
      return undefined;
    }
  }, 10_000);
  const recorder = createRecorder();
  await stopEntry({ id: 'e1', child: () => child }, recorder);
  const { violations } = gracefulStopCheck.check(recorder.history());
  return violations.map(violation => violation.message);
}

test('a process that ends with 0 when asked is graceful', async t => {
  assert.deepEqual(await stop(t, GRACEFUL), []);
});

test('a process that the signal ends is caught', async t => {
  const [message] = await stop(t, WAIT);
  assert.match(message ?? '', /e1 exited by a signal/);
});
