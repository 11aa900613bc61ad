/** What a leader observes in order to tell hosts which jobs to refuse. */
import type { Instant } from '@paddlewind/domain';
import {
  evacuatedKindsOf,
  CapacityForecast,
  startDelaysOf,
  StartRate,
  type AdmissionLimits,
  type JobsState,
  type PlanInput,
  type CapacityRow,
  type Run,
  type RunEnd,
  type WorkerInfo,
} from '@paddlewind/domain/jobs';

import type { EvacuatedZones } from './evacuated-zones.js';

/** Sources of the limits. */
export interface AdmissionReporterOptions {
  readonly clock: () => Instant;
  readonly state: JobsState;
  readonly evacuatedZones: EvacuatedZones;
  readonly registeredWorkers: () => WorkerInfo[];
  /** Whether hosts refuse jobs by the forecast of capacity. */
  readonly admitsByCapacity: boolean;
}

/** Observes planning rounds and ends of runs, and derives the limits on the jobs that hosts accept. */
export class AdmissionReporter {
  readonly startRate = new StartRate();
  private readonly forecast: CapacityForecast | undefined;

  /** Creates the reporter of one leader. */
  constructor(private readonly options: AdmissionReporterOptions) {
    this.forecast = options.admitsByCapacity
      ? new CapacityForecast()
      : undefined;
  }

  /** Notes a planning round; `isLimited` if the leader could not send more starts in it. */
  noteRound(input: PlanInput, isLimited: boolean): void {
    this.startRate.noteRound(input.time.now, isLimited);
    if (isLimited) {
      // Tasks wait for the leader beside free capacity, so that completions don't show what there is.
      this.forecast?.noteBlocked();
    } else {
      this.forecast?.noteRound(input);
    }
  }

  /** Notes that nothing may start now, so that the rate of completions does not show the capacity. */
  noteBlocked(): void {
    this.forecast?.noteBlocked();
  }

  /** Notes that a run is about to end. */
  noteRunEnding({ task }: Run, how: RunEnd | 'lost'): void {
    if (how === 'done') {
      this.forecast?.noteCompleted(task);
    }
  }

  /** Returns the limits to report now. */
  limits(): AdmissionLimits {
    const { state, clock, evacuatedZones, registeredWorkers } = this.options;
    const rate = this.startRate.perSecond(clock());
    return {
      startDelays: startDelaysOf(state.openJobs, rate),
      evacuatedKinds: evacuatedZones.isEmpty
        ? []
        : evacuatedKindsOf(registeredWorkers(), zone =>
            evacuatedZones.has(zone),
          ),
      rooms: this.rooms() ?? [],
      // Each host that reads the limits sets this by its own clock.
      roomsUntil: -Infinity,
    };
  }

  /** Returns the rows of the forecast of capacity; undefined where hosts refuse nothing by it. */
  rooms(): readonly CapacityRow[] | undefined {
    const { state, clock } = this.options;
    return this.forecast?.rows(clock(), state.volunteers.size);
  }
}
