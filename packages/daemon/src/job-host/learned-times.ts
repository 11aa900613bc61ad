/** The two models of run times that a leader keeps, so that either can be in force at any time. */
import {
  createRunTimeDistributions,
  createRunTimes,
  type AverageRunTimes,
  type LearnedEstimates,
  type MoveCosts,
  type RunTimeDistributions,
  type RunTimes,
} from '@paddlewind/domain/jobs';

/** The models; both learn, whichever is in force. */
export interface LearnedTimes {
  readonly averages: AverageRunTimes;
  readonly distributions: RunTimeDistributions;
  /** Returns the distributions where the costs of moving a run are used, the averages elsewhere. */
  readonly inForce: () => RunTimes;
}

/** Creates models that start from what an earlier leader has recorded. */
export function createLearnedTimes(
  learned: LearnedEstimates | undefined,
  moveCosts: () => MoveCosts | undefined,
): LearnedTimes {
  const averages = createRunTimes(learned?.runTimes);
  const distributions = createRunTimeDistributions(learned);
  return {
    averages,
    distributions,
    inForce: () => (moveCosts() === undefined ? averages : distributions),
  };
}
