/** Assigns a bounded number of slots to the batch classes being learned. */
import type { Instant } from '../core/time.js';

/** Number of slots; slot 0 is shared by the classes that have none of their own. */
export const CLASS_SLOTS = 16;

const POOLED_SLOT = 0;

/** Time after which the slot of a class that was not seen may be reassigned. */
const CLASS_IDLE_MS = 30 * 60_000;

/** Slots by batch class, with the time at which each slot's class was last seen. */
export interface ClassTable {
  readonly slots: Map<string, number>;
  readonly seenAt: Float64Array;
  readonly free: number[];
}

/** Creates an empty table. */
export function createClassTable(): ClassTable {
  const free: number[] = [];
  for (let slot = CLASS_SLOTS - 1; slot > POOLED_SLOT; slot--) {
    free.push(slot);
  }
  return { slots: new Map(), seenAt: new Float64Array(CLASS_SLOTS), free };
}

/** Returns the slot of a class, or the shared slot if it has none. */
export function slotOf(table: ClassTable, batchClass: string): number {
  return table.slots.get(batchClass) ?? POOLED_SLOT;
}

/** Returns the slot of a class and assigns one if possible; `onAssign` must clear the slot's previous state. */
export function assignSlot(
  table: ClassTable,
  batchClass: string,
  now: Instant,
  onAssign: (slot: number) => void,
): number {
  let slot = table.slots.get(batchClass);
  if (slot === undefined) {
    slot = table.free.pop() ?? reclaimIdleSlot(table, now);
    if (slot === POOLED_SLOT) {
      return POOLED_SLOT;
    }
    table.slots.set(batchClass, slot);
    onAssign(slot);
  }
  table.seenAt[slot] = now;
  return slot;
}

function reclaimIdleSlot(table: ClassTable, now: Instant): number {
  let oldest: string | undefined;
  let oldestAt = now - CLASS_IDLE_MS;
  for (const [name, slot] of table.slots) {
    const seenAt = table.seenAt[slot] ?? now;
    if (seenAt < oldestAt) {
      oldest = name;
      oldestAt = seenAt;
    }
  }
  if (oldest === undefined) {
    return POOLED_SLOT;
  }
  const slot = slotOf(table, oldest);
  table.slots.delete(oldest);
  return slot;
}
