/** The exchange of loads on backend servers between entry hosts. */
import { boundLoads } from '@paddlewind/domain';

import type { BackendLoadReport, Stop } from '../parts.js';
import { createListeners } from './listeners.js';

/** Loads told in one heartbeat; about 27 bytes each. */
const MAX_TOLD_LOADS = 64;

/** Own loads to tell, and peers' loads heard. */
export interface LoadExchange {
  readonly own: () => BackendLoadReport[];
  readonly heard: (peer: string, loads: readonly BackendLoadReport[]) => void;
  readonly setSource: (source: () => readonly BackendLoadReport[]) => void;
  readonly onLoads: (
    listener: (peer: string, loads: readonly BackendLoadReport[]) => void,
  ) => Stop;
}

/** Starts without a source. */
export function createLoadExchange(): LoadExchange {
  const listeners = createListeners<[string, readonly BackendLoadReport[]]>();
  let source: () => readonly BackendLoadReport[] = () => [];
  return {
    own: () => boundLoads(source(), MAX_TOLD_LOADS),
    heard: (peer, loads) => {
      listeners.call(peer, loads);
    },
    setSource: next => {
      source = next;
    },
    onLoads: listener => listeners.add(listener),
  };
}
