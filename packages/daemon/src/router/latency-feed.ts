/** Passes the response times of backend servers on to the scheduler. */
import type { LatencyFeed } from '../parts.js';

type Listener = Parameters<LatencyFeed['onSample']>[0];
type Sample = Parameters<Listener>[0];
type Steer = LatencyFeed['steer'];

/** A feed and the router's side of it. */
export interface LatencyHub {
  readonly feed: LatencyFeed;
  publish(sample: Sample): void;
}

/** Creates a hub; `steer` is called when the scheduler wants a server preferred or avoided. */
export function createLatencyHub(steer: Steer): LatencyHub {
  const listeners = new Set<Listener>();
  return {
    feed: {
      onSample(listener) {
        listeners.add(listener);
        return () => listeners.delete(listener);
      },
      steer,
    },
    publish(sample) {
      for (const listener of listeners) {
        listener(sample);
      }
    },
  };
}
