/** Child processes of the proxy benchmark: each tells the port that it listens on. */
import { fork, type ChildProcess } from 'node:child_process';

/** A started child. */
export interface Child {
  readonly port: number;
  /** Processor time used so far in milliseconds. */
  cpuMs(): Promise<number>;
  stop(): void;
}

type FromChild =
  | { readonly kind: 'listening'; readonly port: number }
  | { readonly kind: 'cpu'; readonly ms: number };

/** Starts a module beside this one with these arguments. */
export async function startChild(
  module: string,
  args: readonly string[] = [],
): Promise<Child> {
  const child = fork(new URL(module, import.meta.url), args);
  const first = await nextMessage(child);
  if (first.kind !== 'listening') {
    throw new Error(`${module} did not listen`);
  }
  return {
    port: first.port,
    async cpuMs() {
      const answer = nextMessage(child);
      child.send('cpu');
      const told = await answer;
      return told.kind === 'cpu' ? told.ms : 0;
    },
    stop() {
      child.disconnect();
    },
  };
}

function nextMessage(child: ChildProcess): Promise<FromChild> {
  return new Promise((resolve, reject) => {
    function ended(code: number | null): void {
      reject(new Error(`the child ended with ${code}`));
    }
    child.once('message', message => {
      child.removeListener('exit', ended);
      resolve(message as FromChild);
    });
    child.once('exit', ended);
  });
}

/** In a child: tells the port, answers questions and ends with the parent. */
export function serveParent(port: number): void {
  const listening: FromChild = { kind: 'listening', port };
  process.send?.(listening);
  process.on('message', () => {
    const { user, system } = process.cpuUsage();
    const cpu: FromChild = { kind: 'cpu', ms: (user + system) / 1_000 };
    process.send?.(cpu);
  });
  process.on('disconnect', () => {
    process.exit(0);
  });
}
