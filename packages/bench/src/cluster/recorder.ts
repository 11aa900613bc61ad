/** Collects the events of a run. */
import { memorySink } from '@paddlewind/stand-ins';

import { inOrder, type History, type HistoryEvent } from '../prove/history.js';

type Untimed<E> = E extends unknown ? Omit<E, 'at'> : never;

/** Records events as they happen. */
export interface Recorder {
  readonly record: (event: Untimed<HistoryEvent>) => void;
  /** Everything recorded so far, in order. */
  history(): History;
}

/** Creates an empty recorder. */
export function createRecorder(): Recorder {
  const { sink, events } = memorySink<Untimed<HistoryEvent>>();
  return {
    record: sink,
    history: () => inOrder(events),
  };
}
