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

/** Workers of one size beside whose serving images a filler does alike. */
interface Places {
  readonly serving: readonly StepSpec[];
  /** Thousandths of a core of each of the workers. */
  readonly cpuMilli: number;
  readonly workers: string[];
}

function pricesOf(input: ScarcityInput): Map<string, Map<string, number>> {
  const prices = new Map<string, Map<string, number>>();
  const demands = demandsOf(input.state);
  if (demands.size < 2) {
    return prices;
  }
  const groups = groupPlaces(input);
  const suits = groups.map(places =>
    suitsOf(places, demands, input.interference),
  );
  const densities = densitiesOf(groups, suits, demands);
  groups.forEach(({ workers }, at) => {
    const found = groupPrices(
      suits[at] ?? new Map<string, number>(),
      densities,
    );
    workers.forEach(worker => prices.set(worker, found));
  });
  return prices;
}

/** Prices of one group by image: what all images want there, less what the image itself does. */
function groupPrices(
  suits: ReadonlyMap<string, number>,
  densities: ReadonlyMap<string, number>,
): Map<string, number> {
  const wanted = [...densities].map(
    ([image, density]) => [image, density * (suits.get(image) ?? 0)] as const,
  );
  const total = wanted.reduce((sum, [, own]) => sum + own, 0);
  return new Map(
    wanted.map(([image, own]) => [image, Math.min(MAX_PRICE, total - own)]),
  );
}

/** Demand of each image for each unit of the places that suit it. */
function densitiesOf(
  groups: readonly Places[],
  suits: readonly ReadonlyMap<string, number>[],
  demands: ReadonlyMap<string, Demand>,
): Map<string, number> {
  const found = new Map<string, number>();
  for (const [image, demand] of demands) {
    const places = groups.reduce(
      (sum, { cpuMilli, workers }, at) =>
        sum + cpuMilli * workers.length * (suits[at]?.get(image) ?? 0),
      0,
    );
    found.set(image, places === 0 ? 0 : demand.cpuMilli / places);
  }
  return found;
}

/** How well places suit fillers of each image, 0 to 1, by what serves there. */
function suitsOf(
  { serving, cpuMilli }: Places,
  demands: ReadonlyMap<string, Demand>,
  interference: Interference,
): Map<string, number> {
  const suits = new Map<string, number>();
  for (const [image, { spec }] of demands) {
    const gain = interference.worstGain(serving, spec, cpuMilli);
    suits.set(image, Math.max(0, 1 - gain / UNSUITABLE_GAIN));
  }
  return suits;
}

function groupPlaces({ state, workers }: ScarcityInput): Places[] {
  const groups = new Map<string, Places>();
  for (const { info } of workers) {
    const { cpuMilli } = info.capacity;
    const serving = servingSpecs(state.workers.get(info.id));
    const key = `${cpuMilli}/${[...serving.keys()].sort().join('/')}`;
    const group = groups.get(key);
    if (group === undefined) {
      const workers = [info.id];
      groups.set(key, { serving: [...serving.values()], cpuMilli, workers });
    } else {
      group.workers.push(info.id);
    }
  }
  return [...groups.values()];
}

/** One step of each image that serves at a worker. */
function servingSpecs(load: WorkerRuns | undefined): Map<string, StepSpec> {
  const found = new Map<string, StepSpec>();
  for (const { task } of load?.runs.values() ?? []) {
    const { spec } = task.step;
    if (spec.tailTargetMs !== undefined) {
      found.set(spec.image ?? '', spec);
    }
  }
  return found;
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
