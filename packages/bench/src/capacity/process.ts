/** What one process of the daemon takes at rest: resident memory, Node.js apart, processor time and bytes. */
import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

import { report } from '../report.js';

const run = promisify(execFile);
const MEBI = 1_048_576;

const MODULES = {
  'Node.js alone': '',
  'Node.js and the libraries': [
    'undici',
    'pino',
    'prom-client',
    'zod',
    '@connectrpc/connect-node',
  ]
    .map(name => `await import('${name}');`)
    .join(''),
  'Node.js, the libraries and the daemon, not started':
    "await import('@paddlewind/daemon');",
} as const;

/** Reports the resident memory of processes that have loaded more and more. */
export async function measureProcess(): Promise<void> {
  for (const [loaded, code] of Object.entries(MODULES)) {
    const script = `${code} console.log(process.memoryUsage.rss())`;
    const { stdout } = await run(
      process.execPath,
      ['--input-type=module', '-e', script],
      { cwd: import.meta.dirname },
    );
    report({
      bench: 'capacity',
      role: 'process',
      quantity: 'resident memory',
      loaded,
      mebibytes: Number((Number(stdout) / MEBI).toFixed(1)),
    });
  }
}
