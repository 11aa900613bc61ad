/** Resource amounts of workers and tasks. */
import { z } from 'zod';

/** Schema of resources: processors in cores, memory in MiB, accelerators in devices. */
export const resourcesSchema = z.strictObject({
  cpu: z.number().nonnegative(),
  memoryMiB: z.number().nonnegative(),
  accelerators: z.int().nonnegative().default(0),
});

/** Amounts of processors (cores), memory (MiB) and accelerators (devices). */
export interface Resources {
  readonly cpu: number;
  readonly memoryMiB: number;
  readonly accelerators: number;
}

/** Zero resources. */
export const NO_RESOURCES: Resources = {
  cpu: 0,
  memoryMiB: 0,
  accelerators: 0,
};

/** Returns `a + b`. */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    cpu: a.cpu + b.cpu,
    memoryMiB: a.memoryMiB + b.memoryMiB,
    accelerators: a.accelerators + b.accelerators,
  };
}

/** Returns `a - b`, which may be negative. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    cpu: a.cpu - b.cpu,
    memoryMiB: a.memoryMiB - b.memoryMiB,
    accelerators: a.accelerators - b.accelerators,
  };
}

/** Returns the maximum of `a` and `b` in each dimension. */
export function maxResources(a: Resources, b: Resources): Resources {
  return {
    cpu: Math.max(a.cpu, b.cpu),
    memoryMiB: Math.max(a.memoryMiB, b.memoryMiB),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}

/** Tolerance for rounding errors in sums of fractional cores. */
const CPU_EPSILON = 1e-9;

/** Returns whether `size` fits within `capacity` in every dimension. */
export function fits(size: Resources, capacity: Resources): boolean {
  return (
    size.cpu <= capacity.cpu + CPU_EPSILON &&
    size.memoryMiB <= capacity.memoryMiB &&
    size.accelerators <= capacity.accelerators
  );
}
