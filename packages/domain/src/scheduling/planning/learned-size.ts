/** What tasks were seen to take, as the planner remembers it. */

/** A decayed mean and mean deviation. */
export interface Estimate {
  mean: number;
  deviation: number;
}

/** What the tasks of a job, or of jobs alike, were seen to take, over what they declare. */
export interface LearnedSize {
  readonly cpu: Estimate;
  readonly memoryMiB: Estimate;
  samples: number;
}

/** Learned sizes by job and by group of jobs. */
export type LearnedSizes = Map<string, LearnedSize>;
