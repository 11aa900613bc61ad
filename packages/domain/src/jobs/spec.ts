/** What a caller asks for: a job of steps of tasks, and the terms of the queue that it came through. */
import type { Instant, Millis } from '../core/time.js';

/** What one task takes of a worker. */
export interface TaskSize {
  /** Processor time in thousandths of a core. */
  readonly cpuMilli: number;
  /** Memory in mebibytes. */
  readonly memoryMiB: number;
  /** Accelerators in devices. */
  readonly accelerators: number;
}

/** A step: alike tasks that may run once the steps before it are done. */
export interface StepSpec {
  readonly tasks: number;
  readonly size: TaskSize;
  /** The caller's rough guess of a task's run time. */
  readonly estimateMs: Millis;
  /** Indexes of the steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** Whether tasks save checkpoints from which another run can resume. */
  readonly checkpoints: boolean;
  /** Whether the tasks work only all together. */
  readonly gang: boolean;
  /** Whether tasks on more than one rack are slow. */
  readonly sameRack: boolean;
  /** Label that the worker must have. */
  readonly label: string | undefined;
  /** Rack near which the tasks are fast. */
  readonly dataRack: string | undefined;
  /** Most tasks of one occurrence of the step on one worker. */
  readonly maxPerWorker: number | undefined;
  /** Whether copies of a task may run at the same time. */
  readonly speculative: boolean;
  /** Whether tasks run until the job is cancelled. */
  readonly lasting: boolean;
  /** Name of what runs; tasks of one image behave alike. */
  readonly image: string | undefined;
  /** Aim for the tail latency of a serving task's own users. */
  readonly tailTargetMs: Millis | undefined;
  /** Whether tasks use only processor time that the others leave unused. */
  readonly filler: boolean;
  /** How many lasting tasks may be unavailable at once by our own doing. */
  readonly allowedMisses: number | undefined;
}

/** A step of one task of one core that asks for nothing else, to build others from. */
export const PLAIN_STEP: StepSpec = {
  tasks: 1,
  size: { cpuMilli: 1_000, memoryMiB: 1_000, accelerators: 0 },
  estimateMs: 1_000,
  after: [],
  checkpoints: false,
  gang: false,
  sameRack: false,
  label: undefined,
  dataRack: undefined,
  maxPerWorker: undefined,
  speculative: false,
  lasting: false,
  image: undefined,
  tailTargetMs: undefined,
  filler: false,
  allowedMisses: undefined,
};

/** What asking for advice on a step takes, where a queue's policy allows only some workers. */
export interface AdviceTerms {
  readonly decisionMs: Millis;
  readonly perWorkerMs: Millis;
  /** How long a ticket is valid. */
  readonly validityMs: Millis;
}

/** The terms of a queue when the job was accepted. */
export interface QueueTerms {
  readonly queue: string;
  /** Service whose workers run the tasks. */
  readonly service: string;
  /** 0 goes first. */
  readonly priority: number;
  /** How many runs of a task may fail before the job fails. */
  readonly maxAttempts: number;
  /** The objective as a multiple of the longest chain of work. */
  readonly deadlineFactor: number;
  /** Time added to the objective. */
  readonly targetLatencyMs: Millis;
  /** Set where runs need a ticket of the advice service. */
  readonly advice?: AdviceTerms;
}

/** When a job's steps run more than once. */
export interface Repetition {
  readonly times: number;
  /** Wall-clock time of the first occurrence. */
  readonly firstAtWall: Instant;
  readonly everyMs: Millis;
}

/** A job as accepted. */
export interface JobSpec {
  /** Chosen by the caller; a repeat of it is the same job. */
  readonly id: string;
  /** Passed to every task as it is. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly repetition: Repetition | undefined;
  readonly terms: QueueTerms;
}

const MILLI = 1_000;

/** How large a job is by its caller's own guesses: the tasks of one occurrence and their work. */
export interface AskedSize {
  readonly tasks: number;
  /** Core-milliseconds. */
  readonly coreMs: number;
}

/** Returns how large a job is by its caller's own guesses. */
export function askedSizeOf({ steps }: JobSpec): AskedSize {
  const sum = (of: (step: StepSpec) => number): number =>
    steps.reduce((total, step) => total + of(step), 0);
  return {
    tasks: sum(({ tasks }) => tasks),
    coreMs: Math.round(
      sum(
        ({ tasks, size, estimateMs }) =>
          (tasks * size.cpuMilli * estimateMs) / MILLI,
      ),
    ),
  };
}
