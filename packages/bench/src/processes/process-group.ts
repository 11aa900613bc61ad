/** Child processes that always end with the process that started them, each by its id. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';

/** A child process. */
export interface Child {
  readonly name: string;
  readonly pid: number;
  /** Exit code, or the negative of nothing: undefined when a signal ended it. */
  readonly exited: Promise<number | undefined>;
  running(): boolean;
  /** Sends a signal, unless the process has ended. */
  signal(signal: NodeJS.Signals): void;
}

/** What to start. */
export interface ChildOptions {
  readonly name: string;
  /** Node's arguments: the script and its own. */
  readonly args: readonly string[];
  /** File that takes standard output and standard error. */
  readonly logFile: string;
  /** Variables beside those of this process. */
  readonly env?: Readonly<Record<string, string>>;
}

/** Child processes that are ended together. */
export interface ProcessGroup {
  start(options: ChildOptions): Child;
  /** Asks every child to end, then kills those that have not after `graceMs`. */
  close(graceMs?: number): Promise<void>;
}

const DEFAULT_GRACE_MS = 3_000;

/** Creates an empty group; its children are killed when this process exits. */
export function createProcessGroup(): ProcessGroup {
  const children = new Set<Child>();

  function killAll(): void {
    children.forEach(child => {
      child.signal('SIGKILL');
    });
  }

  process.once('exit', killAll);
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
    process.once(signal, () => process.exit(1));
  }

  return {
    start(options) {
      const child = startChild(options);
      children.add(child);
      void child.exited.then(() => children.delete(child));
      return child;
    },
    async close(graceMs = DEFAULT_GRACE_MS) {
      const all = [...children];
      all.forEach(child => {
        child.signal('SIGCONT');
        child.signal('SIGTERM');
      });
      const kill = setTimeout(killAll, graceMs);
      await Promise.all(all.map(child => child.exited));
      clearTimeout(kill);
      process.removeListener('exit', killAll);
    },
  };
}

function startChild(options: ChildOptions): Child {
  const log = createWriteStream(options.logFile, { flags: 'a' });
  const child = spawn(process.execPath, options.args, {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...options.env },
  });
  child.stdout.pipe(log, { end: false });
  child.stderr.pipe(log, { end: false });
  const { pid } = child;
  if (pid === undefined) {
    throw new Error(`${options.name} did not start`);
  }
  return {
    name: options.name,
    pid,
    exited: exitOf(child).finally(() => log.end()),
    running: () => isRunning(child),
    signal(signal) {
      if (isRunning(child)) {
        child.kill(signal);
      }
    },
  };
}

function isRunning(child: ChildProcess): boolean {
  return child.exitCode === null && child.signalCode === null;
}

function exitOf(child: ChildProcess): Promise<number | undefined> {
  return new Promise(resolve => {
    child.once('exit', code => {
      resolve(code ?? undefined);
    });
  });
}
