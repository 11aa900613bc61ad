import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'node:test';

const SETTINGS = {
  host: { id: 'entry-1', region: 'r', availabilityZone: 'z' },
  router: { listen: '127.0.0.1:0' },
  peers: { listen: '127.0.0.1:0' },
  admin: { listen: '127.0.0.1:0' },
  platform: { log: '127.0.0.1:1', hostList: '127.0.0.1:1' },
  shutdown: { balancerMs: 0, drainMs: 100 },
};

test('a signal that comes before the start is done stops the daemon gracefully', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'paddlewind-'));
  t.after(() => {
    rmSync(folder, { recursive: true });
  });
  const file = join(folder, 'settings.json');
  writeFileSync(file, JSON.stringify(SETTINGS));
  const here = new URL('./', import.meta.url).href;
  const code = `
    const { onStopSignal } = await import('${here}stop-signal.js');
    const asked = onStopSignal(9);
    process.kill(process.pid, 'SIGTERM');
    process.argv = ['node', 'paddlewindd', '--settings', ${JSON.stringify(file)}];
    const { runDaemon } = await import('${here}run-daemon.js');
    process.exit(await runDaemon(asked));
  `;
  const child = spawn(process.execPath, ['--input-type=module', '-e', code], {
    stdio: 'ignore',
  });
  assert.deepEqual(await once(child, 'exit'), [0, null]);
});
