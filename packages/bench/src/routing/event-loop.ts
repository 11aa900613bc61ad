/** Virtual time for queue models: actions run in order of their instant, ties in order of scheduling. */
import type { Instant } from '@paddlewind/domain';

interface Event {
  readonly at: Instant;
  readonly order: number;
  readonly action: () => void;
}

/** A clock that jumps from event to event. */
export interface EventLoop {
  now(): Instant;
  at(instant: Instant, action: () => void): void;
  /** Runs every event before `end`. */
  runUntil(end: Instant): void;
}

/** Creates an empty loop at instant 0. */
export function createEventLoop(): EventLoop {
  const heap: Event[] = [];
  let now = 0;
  let order = 0;
  return {
    now: () => now,
    at(instant, action) {
      push(heap, { at: Math.max(now, instant), order: order++, action });
    },
    runUntil(end) {
      for (let next = heap[0]; next !== undefined; next = heap[0]) {
        if (next.at >= end) {
          break;
        }
        pop(heap);
        now = next.at;
        next.action();
      }
      now = end;
    },
  };
}

function isBefore(a: Event, b: Event): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

function push(heap: Event[], event: Event): void {
  let index = heap.length;
  heap.push(event);
  while (index > 0) {
    const parent = (index - 1) >> 1;
    const above = heap[parent];
    if (above === undefined || !isBefore(event, above)) {
      break;
    }
    heap[index] = above;
    index = parent;
  }
  heap[index] = event;
}

function pop(heap: Event[]): void {
  const last = heap.pop();
  if (last === undefined || heap.length === 0) {
    return;
  }
  let index = 0;
  for (;;) {
    const child = smallerChild(heap, index);
    const below = heap[child];
    if (below === undefined || !isBefore(below, last)) {
      break;
    }
    heap[index] = below;
    index = child;
  }
  heap[index] = last;
}

function smallerChild(heap: readonly Event[], index: number): number {
  const left = 2 * index + 1;
  const first = heap[left];
  const second = heap[left + 1];
  const rightIsSmaller =
    first !== undefined && second !== undefined && isBefore(second, first);
  return rightIsSmaller ? left + 1 : left;
}
