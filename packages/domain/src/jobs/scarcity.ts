/**
 * Prices places for fillers by who else needs them. Images that fill disturb some images that serve and
 * leave others alone, so that a few workers suit nearly every filler and others hardly any. Fillers that
 * run well anywhere are to leave alone the places of those that run well in few.
 */
import type { Instant, Millis } from '../core/time.js';
import type { Interference } from './interference.js';
import { isReady, type Job, type Step } from './job.js';
import type { JobsState, WorkerRuns } from './jobs-state.js';
import type { PlanWorker } from './placement.js';
import type { StepSpec } from './spec.js';

/** How long prices hold: demand changes with jobs that come, pressures within seconds. */
const PRICES_HOLD_MS: Millis = 500;
/** Gain of a serving task's load by one filler from which on its place does not suit the filler at all. */
const UNSUITABLE_GAIN = 0.3;
/** Highest price; that of a worker all of which is wanted is 1. */
const MAX_PRICE = 2;

/** Demand for places by the fillers of one image. */
interface Demand {
  readonly spec: StepSpec;
  /** Thousandths of a core that they run on or wait for. */
  cpuMilli: number;
}

/** What prices are worked out from. */
export interface ScarcityInput {
  readonly state: JobsState;
  readonly workers: readonly PlanWorker[];
  readonly interference: Interference;
  readonly now: Instant;
}

/** Prices of places, worked out twice a second. */
export class Scarcity {
  private refreshAt: Instant = -Infinity;
  /** By worker, then by image of the filler. */
  private prices = new Map<string, Map<string, number>>();

  /** Works the prices out anew where they no longer hold. */
  refresh(input: ScarcityInput): void {
    if (input.now >= this.refreshAt) {
      this.refreshAt = input.now + PRICES_HOLD_MS;
      this.prices = pricesOf(input);
    }
  }

  /** Price of a place at a worker for a filler: the share of it that fillers of other images need. */
  priceAt(worker: string, { image = '' }: StepSpec): number {
    return this.prices.get(worker)?.get(image) ?? 0;
  }
}

function pricesOf(input: ScarcityInput): Map<string, Map<string, number>> {
  const demands = demandsOf(input.state);
  const prices = new Map<string, Map<string, number>>();
  if (demands.size < 2) {
    return prices;
  }
  const suits = suitsOf(input, demands);
  for (const { info } of input.workers) {
    prices.set(info.id, new Map());
  }
  const total = new Map<string, number>();
  for (const [image, { cpuMilli }] of demands) {
    const places = input.workers.reduce(
      (sum, { info }) =>
        sum + info.capacity.cpuMilli * (suits.get(info.id)?.get(image) ?? 0),
      0,
    );
    const density = places === 0 ? 0 : cpuMilli / places;
    for (const { info } of input.workers) {
      const wanted = density * (suits.get(info.id)?.get(image) ?? 0);
      prices.get(info.id)?.set(image, wanted);
      total.set(info.id, (total.get(info.id) ?? 0) + wanted);
    }
  }
  for (const [worker, wanted] of prices) {
    for (const [image, own] of wanted) {
      const others = (total.get(worker) ?? 0) - own;
      wanted.set(image, Math.min(MAX_PRICE, others));
    }
  }
  return prices;
}

/** How well a worker suits fillers of each image, 0 to 1, by what serves there. */
function suitsOf(
  { state, workers, interference }: ScarcityInput,
  demands: ReadonlyMap<string, Demand>,
): Map<string, Map<string, number>> {
  const found = new Map<string, Map<string, number>>();
  for (const { info } of workers) {
    const serving = servingSpecs(state.workers.get(info.id));
    const suits = new Map<string, number>();
    for (const [image, { spec }] of demands) {
      const gain = interference.worstGain(
        serving,
        spec,
        info.capacity.cpuMilli,
      );
      suits.set(image, Math.max(0, 1 - gain / UNSUITABLE_GAIN));
    }
    found.set(info.id, suits);
  }
  return found;
}

/** One step of each image that serves at a worker. */
function servingSpecs(load: WorkerRuns | undefined): StepSpec[] {
  const found = new Map<string, StepSpec>();
  for (const { task } of load?.runs.values() ?? []) {
    const { spec } = task.step;
    if (spec.tailTargetMs !== undefined) {
      found.set(spec.image ?? '', spec);
    }
  }
  return [...found.values()];
}

function demandsOf({ open }: JobsState): Map<string, Demand> {
  const found = new Map<string, Demand>();
  for (const job of open) {
    for (const step of readyFillers(job)) {
      const { spec } = step;
      const image = spec.image ?? '';
      const demand = found.get(image) ?? { spec, cpuMilli: 0 };
      demand.cpuMilli += spec.size.cpuMilli * step.remaining;
      found.set(image, demand);
    }
  }
  return found;
}

function readyFillers(job: Job): Step[] {
  return [...job.occurrences.values()].flatMap(({ steps }) =>
    steps.filter(
      step => step.spec.filler && step.remaining > 0 && isReady(step),
    ),
  );
}
