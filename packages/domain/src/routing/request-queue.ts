/** The bounded queue of requests that wait for a slot: retries first, then in order of arrival. */
import type { RequestInfo } from './dispatcher.js';

/** A request that waits. */
export interface QueuedRequest {
  readonly req: RequestInfo;
  /** Servers that failed it already. */
  readonly avoid: readonly string[];
}

/** A queue of requests, each with its own id. */
export interface RequestQueue {
  size(): number;
  has(id: number): boolean;
  push(entry: QueuedRequest): void;
  /** Puts a retry before the first tries. */
  pushFirst(entry: QueuedRequest): void;
  peek(): QueuedRequest | undefined;
  remove(id: number): boolean;
  /** Everything in order. */
  values(): QueuedRequest[];
  /** Removes and returns everything. */
  clear(): QueuedRequest[];
}

/** Creates an empty queue; its user keeps the bound. */
export function createRequestQueue(): RequestQueue {
  const retries = new Map<number, QueuedRequest>();
  const fresh = new Map<number, QueuedRequest>();
  function values(): QueuedRequest[] {
    return [...retries.values(), ...fresh.values()];
  }

  function remove(id: number): boolean {
    return retries.delete(id) || fresh.delete(id);
  }

  return {
    size: () => retries.size + fresh.size,
    has: id => retries.has(id) || fresh.has(id),
    push(entry) {
      fresh.set(entry.req.id, entry);
    },
    pushFirst(entry) {
      retries.set(entry.req.id, entry);
    },
    peek() {
      const map = retries.size > 0 ? retries : fresh;
      for (const entry of map.values()) {
        return entry;
      }
      return undefined;
    },
    remove,
    values,
    clear() {
      const all = values();
      retries.clear();
      fresh.clear();
      return all;
    },
  };
}
