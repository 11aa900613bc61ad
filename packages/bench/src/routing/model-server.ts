/** A backend server of a queue model: slots, and a queue in order of arrival. */
import type { Instant, TryResult } from '@paddlewind/domain';

import type { EventLoop } from './event-loop.js';
import type { ModelRequest, ServerMode } from './workload.js';

/** A try at a server; `canceled` once nobody waits for it. */
export interface ModelTry {
  readonly req: ModelRequest;
  canceled: boolean;
  /** Called at the server when the answer leaves it. */
  readonly answer: (result: TryResult) => void;
}

/** A backend server. */
export interface ModelServer {
  receive(entry: ModelTry): void;
  /** Tries that run or wait here. */
  occupied(): number;
}

/** Creates a server whose behaviour over time is `modeAt`. */
export function createModelServer(
  loop: EventLoop,
  slots: number,
  modeAt: (at: Instant) => ServerMode,
): ModelServer {
  const waiting: ModelTry[] = [];
  let running = 0;

  function start(entry: ModelTry): void {
    const mode = modeAt(loop.now());
    running += 1;
    switch (mode.kind) {
      case 'serving':
        end(entry, entry.req.workMs * mode.slowdown, 200);
        break;
      case 'failing':
        end(entry, mode.afterMs, 500);
        break;
      case 'stalled':
        // The slot stays taken until the entry host closes the connection.
        running -= 1;
        break;
    }
  }

  function end(entry: ModelTry, afterMs: number, status: number): void {
    loop.at(loop.now() + afterMs, () => {
      running -= 1;
      entry.answer({ kind: 'answered', status });
      startNext();
    });
  }

  function startNext(): void {
    while (running < slots) {
      const next = waiting.shift();
      if (next === undefined) {
        return;
      }
      if (!next.canceled) {
        start(next);
      }
    }
  }

  return {
    receive(entry) {
      waiting.push(entry);
      startNext();
    },
    occupied: () => running + waiting.length,
  };
}
