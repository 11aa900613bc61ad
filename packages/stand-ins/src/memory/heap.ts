/** Measures what is alive on the heap of this process. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Returns the bytes that are alive after a garbage collection. */
export function liveHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  // Finalizers may release more with the second collection.
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}
