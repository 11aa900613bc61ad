/** Metrics of the router. */
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';

/** How a request ended, as a label: an answer by its class, or the kind of the refusal. */
export type RequestOutcome = string;

/** Metrics of one service. */
export interface ServiceMetrics {
  ended(outcome: RequestOutcome, seconds: number): void;
  retried(): void;
  hedged(): void;
}

/** Present numbers of one service. */
export interface ServiceLevels {
  readonly service: string;
  readonly inFlight: number;
  readonly queued: number;
}

/** Metrics of the router; one set of labels a service. */
export interface RouterMetrics {
  service(name: string): ServiceMetrics;
  /** Sets where the present numbers come from when metrics are read. */
  observe(levels: () => readonly ServiceLevels[]): void;
  /** Forgets the series of a service that is no longer configured. */
  remove(name: string): void;
}

const SECONDS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
];

/** Registers the metrics. */
export function createRouterMetrics(registry: Registry): RouterMetrics {
  let levels: () => readonly ServiceLevels[] = () => [];
  const instruments = createInstruments(registry, () => levels());
  const { durations, inFlight, queue, retries, hedges } = instruments;
  return {
    service: name => serviceMetrics(instruments, name),
    observe(source) {
      levels = source;
    },
    remove(name) {
      [durations, inFlight, queue, retries, hedges].forEach(metric => {
        metric.remove(name);
      });
    },
  };
}

type Instruments = ReturnType<typeof createInstruments>;

function createInstruments(
  registry: Registry,
  levels: () => readonly ServiceLevels[],
) {
  const registers = [registry];
  const labelNames = ['service'] as const;
  return {
    requests: new Counter({
      name: 'paddlewind_router_requests_total',
      help: 'Requests of callers by their end.',
      labelNames: ['service', 'outcome'] as const,
      registers,
    }),
    durations: new Histogram({
      name: 'paddlewind_router_request_duration_seconds',
      help: 'Time from the head of a request to the end of its answer.',
      labelNames,
      buckets: SECONDS,
      registers,
    }),
    inFlight: new Gauge({
      name: 'paddlewind_router_in_flight',
      help: 'Requests that are not yet answered.',
      labelNames,
      registers,
      collect() {
        for (const { service, inFlight } of levels()) {
          this.set({ service }, inFlight);
        }
      },
    }),
    queue: new Gauge({
      name: 'paddlewind_router_queue_length',
      help: 'Requests that wait for a slot.',
      labelNames,
      registers,
      collect() {
        for (const { service, queued } of levels()) {
          this.set({ service }, queued);
        }
      },
    }),
    retries: new Counter({
      name: 'paddlewind_router_retries_total',
      help: 'Tries after a failed one.',
      labelNames,
      registers,
    }),
    hedges: new Counter({
      name: 'paddlewind_router_hedges_total',
      help: 'Second copies of slow requests.',
      labelNames,
      registers,
    }),
  };
}

function serviceMetrics(from: Instruments, name: string): ServiceMetrics {
  const duration = from.durations.labels(name);
  const outcomes = new Map<string, { inc(): void }>();
  function outcomeCounter(outcome: string): { inc(): void } {
    const known = outcomes.get(outcome);
    if (known !== undefined) {
      return known;
    }
    const created = from.requests.labels(name, outcome);
    outcomes.set(outcome, created);
    return created;
  }
  return {
    ended(outcome, seconds) {
      outcomeCounter(outcome).inc();
      duration.observe(seconds);
    },
    retried() {
      from.retries.labels(name).inc();
    },
    hedged() {
      from.hedges.labels(name).inc();
    },
  };
}
