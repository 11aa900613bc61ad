/** Runs one stand-in as a process: `node main.js --kind log|hosts|worker|backend [--port N] [--options JSON] [--events FILE]`. */
import { parseArgs } from 'node:util';

import { startBackendServer } from './backend/backend-server.js';
import { fileSink, noEvents, type EventSink } from './events/events.js';
import { startHostListServer } from './hosts/host-list-server.js';
import type { Listener, ListenOptions } from './http/json-server.js';
import { startLogServer } from './log/log-server.js';
import { startWorkerServer } from './worker/worker-server.js';

const USAGE =
  'usage: main.js --kind log|hosts|worker|backend [--host IP] [--port N] [--options JSON] [--events FILE]';

const DEFAULT_CAPACITY = { cpu: 16, memoryMiB: 61_440, accelerators: 0 };

interface StartArgs {
  readonly listen: ListenOptions;
  readonly onEvent: EventSink;
  /** The stand-in's own options, trusted: they come from a test or a person at the shell. */
  readonly options: Readonly<Record<string, unknown>>;
}

async function start(
  kind: string | undefined,
  { listen, onEvent, options }: StartArgs,
): Promise<Listener | undefined> {
  switch (kind) {
    case 'log':
      return startLogServer({ ...options, ...listen });
    case 'hosts':
      return startHostListServer({ ...options, ...listen, onEvent });
    case 'worker': {
      const defaults = { worker: 'worker', capacity: DEFAULT_CAPACITY };
      const own = { ...defaults, ...options };
      return startWorkerServer({ ...own, ...listen, onEvent });
    }
    case 'backend': {
      const own = { backend: 'backend', ...options };
      return startBackendServer({ ...own, ...listen, onEvent });
    }
    case undefined:
    default:
      return undefined;
  }
}

function readArgs(): { kind: string | undefined; args: StartArgs } {
  const { values } = parseArgs({
    options: {
      kind: { type: 'string' },
      host: { type: 'string', default: '127.0.0.1' },
      port: { type: 'string', default: '0' },
      options: { type: 'string', default: '{}' },
      events: { type: 'string' },
    },
  });
  return {
    kind: values.kind,
    args: {
      listen: { host: values.host, port: Number(values.port) },
      onEvent: values.events === undefined ? noEvents : fileSink(values.events),
      options: JSON.parse(values.options) as Record<string, unknown>,
    },
  };
}

async function main(): Promise<void> {
  const { kind, args } = readArgs();
  const listener = await start(kind, args);
  if (listener === undefined) {
    process.stderr.write(`${USAGE}\n`);
    process.exitCode = 2;
    return;
  }
  process.stdout.write(
    `${JSON.stringify({ kind, address: listener.address })}\n`,
  );
  process.once('SIGTERM', () => {
    void listener.close().then(() => process.exit(0));
  });
  // The stand-in ends with the process that started it, which holds its standard input open.
  if (!process.stdin.isTTY) {
    process.stdin.resume();
    process.stdin.once('end', () => process.exit(0));
  }
}

await main();
