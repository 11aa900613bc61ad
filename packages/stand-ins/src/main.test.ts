import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import test from 'node:test';
import { fileURLToPath } from 'node:url';

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url));

for (const kind of ['log', 'hosts', 'worker', 'backend']) {
  test(`the ${kind} process prints its address and ends with its input`, async () => {
    const child = spawn(process.execPath, [MAIN, '--kind', kind]);
    const [line] = (await once(
      createInterface({ input: child.stdout }),
      'line',
    )) as [string];
    const started = JSON.parse(line) as { kind: string; address: string };
    assert.equal(started.kind, kind);
    const res = await fetch(`http://${started.address}/control`);
    assert.equal(res.status, 200);
    child.stdin.end();
    const [code] = (await once(child, 'exit')) as [number];
    assert.equal(code, 0);
  });
}

test('an unknown kind is a usage error', async () => {
  const child = spawn(process.execPath, [MAIN, '--kind', 'queue']);
  const [code] = (await once(child, 'exit')) as [number];
  assert.equal(code, 2);
});
