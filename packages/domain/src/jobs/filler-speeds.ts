/** How fast further fillers would run beside what serves, worked out once in a round of planning. */
import type { Run, Step } from './job.js';
import type { WorkerRuns } from './jobs-state.js';
import type { StepSpec } from './spec.js';

/** Gain of a load, as a share of it, below which a filler is taken not to disturb. */
export const HARMLESS_GAIN = 0.02;

/** The runs of a worker that serve. */
export function servingOf(runs: ReadonlyMap<string, Run>): Run[] {
  return [...runs.values()].filter(
    ({ task }) => task.step.spec.tailTargetMs !== undefined,
  );
}

/** What is known of loads and pressures. */
export interface SpeedSource {
  /** Gain of a serving step's load that the fillers of a worker leave to one more. */
  readonly leftBeside: (
    serving: Step,
    load: WorkerRuns,
    cpuMilli: number,
  ) => number;
  /** Whether a run that serves has been over its target for a while. */
  readonly isOver: (serving: Run) => boolean;
  /** Pressure of a filler, with caution. */
  readonly pressure: (serving: StepSpec, filler: StepSpec) => number;
}

/** A serving step at a worker, and what is left beside it once that is known. */
interface Serving {
  readonly step: Step;
  left: number | undefined;
}

interface Beside {
  /** Number of runs for which the rest holds: runs only begin. */
  readonly runs: number;
  readonly serving: readonly Serving[];
  /** Whether one of them has been over its target: what disturbs it may be blamed on others, and nothing is added. */
  readonly isOver: boolean;
}

/** Valid while runs only begin and nothing is learnt. */
export class FillerSpeeds {
  private readonly beside = new Map<ReadonlyMap<string, Run>, Beside>();
  /** By image of the filler and of what serves. */
  private readonly pressures = new Map<string, Map<string, number>>();

  /** Creates speeds of which nothing is worked out yet. */
  constructor(private readonly source: SpeedSource) {}

  /** Share of its speed, 0 to 1, at which one more filler could run at a worker. */
  of(load: WorkerRuns, cpuMilli: number, filler: StepSpec): number {
    let speed = 1;
    const taken = filler.size.cpuMilli / cpuMilli;
    const pressures = this.pressuresOf(filler);
    const beside = this.besideOf(load);
    if (beside.isOver) {
      return 0;
    }
    for (const serving of beside.serving) {
      const { step } = serving;
      const gain = this.pressure(pressures, step.spec, filler) * taken;
      if (gain > HARMLESS_GAIN) {
        serving.left ??= this.source.leftBeside(step, load, cpuMilli);
        speed = Math.min(speed, serving.left / gain);
      }
    }
    return Math.max(0, speed);
  }

  private besideOf({ runs }: WorkerRuns): Beside {
    const known = this.beside.get(runs);
    if (known?.runs === runs.size) {
      return known;
    }
    const serves = servingOf(runs);
    const steps = new Set(serves.map(({ task }) => task.step));
    const found = {
      runs: runs.size,
      serving: [...steps].map(step => ({ step, left: undefined })),
      isOver: serves.some(run => this.source.isOver(run)),
    };
    this.beside.set(runs, found);
    return found;
  }

  private pressuresOf({ image = '' }: StepSpec): Map<string, number> {
    const known = this.pressures.get(image);
    if (known !== undefined) {
      return known;
    }
    const created = new Map<string, number>();
    this.pressures.set(image, created);
    return created;
  }

  private pressure(
    known: Map<string, number>,
    serving: StepSpec,
    filler: StepSpec,
  ): number {
    const image = serving.image ?? '';
    const found = known.get(image);
    if (found !== undefined) {
      return found;
    }
    const pressure = this.source.pressure(serving, filler);
    known.set(image, pressure);
    return pressure;
  }
}
