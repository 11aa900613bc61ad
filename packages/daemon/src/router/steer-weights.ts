/** The weights that interference control gave; they outlive the dispatchers they were told to. */
import type { Dispatcher } from '@paddlewind/domain';

/** Weights by service and worker. */
export interface SteerWeights {
  set(service: string, worker: string, weight: number): void;
  /** Tells a new dispatcher of the service all of its weights. */
  applyTo(service: string, dispatcher: Dispatcher): void;
  /** Forgets a service. */
  remove(service: string): void;
}

const NEUTRAL = 1;

/** Creates weights that are all neutral. */
export function createSteerWeights(): SteerWeights {
  const services = new Map<string, Map<string, number>>();
  return {
    set(service, worker, weight) {
      const weights = services.get(service) ?? new Map<string, number>();
      services.set(service, weights.set(worker, weight));
      if (weight === NEUTRAL) {
        weights.delete(worker);
      }
    },
    applyTo(service, dispatcher) {
      for (const [worker, weight] of services.get(service) ?? []) {
        dispatcher.steer(worker, weight);
      }
    },
    remove(service) {
      services.delete(service);
    },
  };
}
