/** One run of a contender through a scenario, judged by what truly happens. */
import { seededRandom, type Random } from '@paddlewind/domain';

import { placeQueue, type Contender } from './contender.js';
import {
  BUDGET,
  createFleet,
  levelAlone,
  loadOn,
  missShare,
  stepBatch,
  trueSlowdown,
  type Fleet,
  type FleetWorker,
} from './fleet.js';
import { normal, type Scenario } from './scenario.js';

/** Length of a window of the objective, and the start that is reported apart, in seconds. */
const WINDOW_SECONDS = 30;
export const WARM_UP_SECONDS = 600;

/** What a run came to. */
export interface RunResult {
  /** Share of windows, over all services, that met the objective after the warm-up. */
  readonly met: number;
  /** The same during the warm-up. */
  readonly metAtStart: number;
  /** Core-seconds of batch work done. */
  readonly work: number;
  readonly evictions: number;
  readonly completed: number;
}

interface Tally {
  readonly misses: Float64Array;
  readonly requests: Float64Array;
  met: number;
  windows: number;
  metAtStart: number;
  windowsAtStart: number;
}

/** Runs one contender. */
export function runContender(
  scenario: Scenario,
  build: (fleet: Fleet) => Contender,
): RunResult {
  const fleet = createFleet(scenario);
  const contender = build(fleet);
  const random = seededRandom(scenario.seed + 1);
  const tally: Tally = {
    misses: new Float64Array(scenario.services.length),
    requests: new Float64Array(scenario.services.length),
    met: 0,
    windows: 0,
    metAtStart: 0,
    windowsAtStart: 0,
  };
  while (fleet.second < scenario.seconds) {
    stepBatch(fleet, random);
    placeQueue(fleet, contender);
    contender.act();
    for (const worker of fleet.workers) {
      for (const service of worker.services) {
        serve(fleet, contender, tally, service, worker, random);
      }
    }
    if (fleet.second % WINDOW_SECONDS === 0) {
      closeWindow(fleet, tally);
    }
  }
  return {
    met: tally.met / tally.windows,
    metAtStart: tally.metAtStart / tally.windowsAtStart,
    work: fleet.work,
    evictions: fleet.evictions,
    completed: fleet.completed,
  };
}

function serve(
  fleet: Fleet,
  contender: Contender,
  tally: Tally,
  service: number,
  worker: FleetWorker,
  random: Random,
): void {
  const truth = fleet.scenario.services[service];
  if (truth === undefined) {
    return;
  }
  const load = loadOn(fleet, service, worker);
  const level =
    levelAlone(fleet, service, worker, load) +
    trueSlowdown(fleet, service, worker, load);
  tally.requests[service] = (tally.requests[service] ?? 0) + load;
  tally.misses[service] =
    (tally.misses[service] ?? 0) + load * missShare(truth, level);
  if (!contender.sees) {
    return;
  }
  const mean = load * truth.rate;
  const count = Math.floor(mean + random());
  for (let i = 0; i < count; i++) {
    const latencyMs = Math.exp(level + truth.deviation * normal(random));
    contender.see({ service, worker, latencyMs });
  }
}

function closeWindow(fleet: Fleet, tally: Tally): void {
  const atStart = fleet.second <= WARM_UP_SECONDS;
  tally.misses.forEach((misses, service) => {
    const met = misses <= BUDGET * (tally.requests[service] ?? 0) ? 1 : 0;
    if (atStart) {
      tally.windowsAtStart += 1;
      tally.metAtStart += met;
    } else {
      tally.windows += 1;
      tally.met += met;
    }
  });
  tally.misses.fill(0);
  tally.requests.fill(0);
}
