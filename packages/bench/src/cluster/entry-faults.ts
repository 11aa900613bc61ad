/** Faults of entry hosts, recorded with their begin and end. */
import type { EntryHost } from './entry-hosts.js';
import type { Recorder } from './recorder.js';

/** Kills the process of an entry host abruptly. */
export async function killEntry(
  entry: EntryHost,
  recorder: Recorder,
): Promise<void> {
  const fault = { fault: 'entry_killed', target: entry.id } as const;
  recorder.record({ type: 'fault_began', ...fault });
  entry.child().signal('SIGKILL');
  await entry.child().exited;
}

/** Starts a killed or stopped entry host again. */
export function restartEntry(entry: EntryHost, recorder: Recorder): void {
  entry.start();
  const fault = { fault: 'entry_killed', target: entry.id } as const;
  recorder.record({ type: 'fault_ended', ...fault });
}

/** Time after which a process that was asked to stop is killed, in milliseconds. */
const STOP_LIMIT_MS = 20_000;

/** Asks an entry host to end, as for a planned replacement; resolves to its exit code, null after a signal. */
export async function stopEntry(
  entry: Pick<EntryHost, 'id' | 'child'>,
  recorder: Recorder,
): Promise<number | null> {
  const fault = { fault: 'entry_stopped', target: entry.id } as const;
  recorder.record({ type: 'fault_began', ...fault });
  const child = entry.child();
  child.signal('SIGTERM');
  const kill = setTimeout(() => {
    child.signal('SIGKILL');
  }, STOP_LIMIT_MS);
  const code = (await child.exited) ?? null;
  clearTimeout(kill);
  recorder.record({ type: 'entry_exited', entry: entry.id, code });
  return code;
}

/** Freezes the process of an entry host; returns the thaw. */
export function pauseEntry(entry: EntryHost, recorder: Recorder): () => void {
  const fault = { fault: 'entry_paused', target: entry.id } as const;
  const child = entry.child();
  recorder.record({ type: 'fault_began', ...fault });
  child.signal('SIGSTOP');
  return () => {
    child.signal('SIGCONT');
    recorder.record({ type: 'fault_ended', ...fault });
  };
}
