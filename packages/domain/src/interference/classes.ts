/** Slots of the batch classes that are being learnt; their number is bounded. */
import type { Instant } from '../core/time.js';

/** Slots for batch classes; slot 0 pools the classes that found none. */
export const CLASS_SLOTS = 16;

const POOLED = 0;

/** A slot is given to another class once its own was not seen for this long, in milliseconds. */
const IDLE_MS = 30 * 60_000;

/** Slots by batch class. */
export interface ClassTable {
  readonly slots: Map<string, number>;
  readonly seenAt: Float64Array;
  readonly free: number[];
}

/** Builds an empty table. */
export function createClassTable(): ClassTable {
  const free: number[] = [];
  for (let slot = CLASS_SLOTS - 1; slot > POOLED; slot--) {
    free.push(slot);
  }
  return { slots: new Map(), seenAt: new Float64Array(CLASS_SLOTS), free };
}

/** Returns the slot of a class, or the pooled one for a class that has none. */
export function slotOf(table: ClassTable, batchClass: string): number {
  return table.slots.get(batchClass) ?? POOLED;
}

/** Returns the slot of a class, assigning one if possible; `onAssign` clears what it held before. */
export function touchSlot(
  table: ClassTable,
  batchClass: string,
  now: Instant,
  onAssign: (slot: number) => void,
): number {
  let slot = table.slots.get(batchClass);
  if (slot === undefined) {
    slot = table.free.pop() ?? reclaim(table, now);
    if (slot === POOLED) {
      return POOLED;
    }
    table.slots.set(batchClass, slot);
    onAssign(slot);
  }
  table.seenAt[slot] = now;
  return slot;
}

function reclaim(table: ClassTable, now: Instant): number {
  let oldest: string | undefined;
  let oldestAt = now - IDLE_MS;
  for (const [name, slot] of table.slots) {
    const seenAt = table.seenAt[slot] ?? now;
    if (seenAt < oldestAt) {
      oldest = name;
      oldestAt = seenAt;
    }
  }
  if (oldest === undefined) {
    return POOLED;
  }
  const slot = slotOf(table, oldest);
  table.slots.delete(oldest);
  return slot;
}
