/** Amounts of what a worker has and a task takes. */
import { z } from 'zod';

/** Schema of an amount: processors in cores, memory in mebibytes, accelerators in devices. */
export const resourcesSchema = z.strictObject({
  cpu: z.number().nonnegative(),
  memoryMiB: z.number().nonnegative(),
  accelerators: z.int().nonnegative().default(0),
});

/** An amount of processors (cores), memory (MiB) and accelerators (devices). */
export interface Resources {
  readonly cpu: number;
  readonly memoryMiB: number;
  readonly accelerators: number;
}

/** The amount of nothing. */
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

/** Returns the larger of `a` and `b` in each dimension. */
export function maxResources(a: Resources, b: Resources): Resources {
  return {
    cpu: Math.max(a.cpu, b.cpu),
    memoryMiB: Math.max(a.memoryMiB, b.memoryMiB),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}

/** Tolerance for sums of fractional cores. */
const CPU_EPSILON = 1e-9;

/** Tells whether `size` fits within `room` in every dimension. */
export function fits(size: Resources, room: Resources): boolean {
  return (
    size.cpu <= room.cpu + CPU_EPSILON &&
    size.memoryMiB <= room.memoryMiB &&
    size.accelerators <= room.accelerators
  );
}
