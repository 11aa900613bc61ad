/** Measuring of the heap. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

/** Bytes of the heap in use after a full collection. */
export function heapBytes(): number {
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}

/** Bytes of the heap that what `build` returns keeps alive. */
export function retainedBytes(build: () => unknown): number {
  const before = heapBytes();
  const held = build();
  const after = heapBytes();
  if (held === undefined) {
    throw new Error('nothing was built');
  }
  return after - before;
}

/** Processor time that `run` takes, in microseconds. */
export function cpuMicroseconds(run: () => void): number {
  const before = process.cpuUsage();
  run();
  const { user, system } = process.cpuUsage(before);
  return user + system;
}
