/** The specification of a job: its steps and their tasks, and the terms of the queue that accepted it. */
import type { Instant, Millis } from '../core/time.js';

/** Resources that one task takes on a worker. */
export interface TaskSize {
  /** Processor time in thousandths of a core. */
  readonly cpuMilli: number;
  /** Memory in mebibytes. */
  readonly memoryMiB: number;
  /** Accelerators in devices. */
  readonly accelerators: number;
}

/** A step: identical tasks that may run once the steps that it depends on are done. */
export interface StepSpec {
  readonly tasks: number;
  readonly size: TaskSize;
  /** The caller's rough estimate of a task's run time. */
  readonly estimateMs: Millis;
  /** Indexes of the steps that must be done first. */
  readonly after: readonly number[];
  /** Whether tasks save checkpoints from which another run can resume. */
  readonly checkpoints: boolean;
  /** Whether the tasks must all run at the same time. */
  readonly gang: boolean;
  /** Whether the tasks are slow when they are spread over several racks. */
  readonly sameRack: boolean;
  /** Label that the worker must have. */
  readonly label: string | undefined;
  /** Rack that holds the data of the tasks, which run faster near it. */
  readonly dataRack: string | undefined;
  /** Maximum number of tasks of one occurrence of the step on one worker. */
  readonly maxPerWorker: number | undefined;
  /** Whether speculative copies of a task may run at the same time. */
  readonly speculative: boolean;
  /** Whether the tasks are long-running, that is, run until the job is cancelled. */
  readonly lasting: boolean;
  /** Name of the image; tasks of the same image behave similarly. */
  readonly image: string | undefined;
  /** Target for the tail latency that the users of a serving task see. */
  readonly tailTargetMs: Millis | undefined;
  /** Whether these are best-effort filler tasks: they use only processor time that other tasks leave idle. */
  readonly filler: boolean;
  /** How many long-running tasks the scheduler itself may make unavailable at the same time. */
  readonly allowedMisses: number | undefined;
}

/** Defaults for building steps: one task of one core without further requirements. */
export const DEFAULT_STEP: StepSpec = {
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

/** Terms of the advice service, which decides for a queue on which workers a step may run. */
export interface AdviceTerms {
  /** Fixed part of the time that an answer takes. */
  readonly decisionMs: Millis;
  /** Time added to an answer for each worker in the question. */
  readonly perWorkerMs: Millis;
  /** How long a ticket is valid. */
  readonly validityMs: Millis;
}

/** The terms of a queue at the time the job was accepted. */
export interface QueueTerms {
  readonly queue: string;
  /** Service whose workers run the tasks. */
  readonly service: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Number of failed runs of a task at which its job fails. */
  readonly maxAttempts: number;
  /** The objective as a multiple of the job's critical path. */
  readonly deadlineFactor: number;
  /** Time that is added to the objective. */
  readonly targetLatencyMs: Millis;
  /** Set if runs need a ticket of the advice service. */
  readonly advice?: AdviceTerms;
}

/** Schedule of a job whose steps run more than once. */
export interface Repetition {
  readonly times: number;
  /** Wall-clock time of the first occurrence. */
  readonly firstAtWall: Instant;
  readonly everyMs: Millis;
}

/** A job as it was accepted. */
export interface JobSpec {
  /** Chosen by the caller; a second submission with the same id is the same job. */
  readonly id: string;
  /** Passed to every task unchanged. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly repetition: Repetition | undefined;
  readonly terms: QueueTerms;
}

const MILLI_PER_CORE = 1_000;

/**
 * Tells whether a job loses value while it waits: long-running jobs lose little, and scheduled ones are not due
 * yet.
 */
export function losesByWaiting({ steps, repetition }: JobSpec): boolean {
  return repetition === undefined && !steps.some(({ lasting }) => lasting);
}

/** Size of one occurrence of a job by the caller's estimates. */
export interface EstimatedSize {
  readonly tasks: number;
  /** Core-milliseconds. */
  readonly coreMs: number;
}

/** Returns the size of one occurrence of a job by the caller's estimates. */
export function estimatedSizeOf({ steps }: JobSpec): EstimatedSize {
  const sum = (of: (step: StepSpec) => number): number =>
    steps.reduce((total, step) => total + of(step), 0);
  return {
    tasks: sum(({ tasks }) => tasks),
    coreMs: Math.round(
      sum(
        ({ tasks, size, estimateMs }) =>
          (tasks * size.cpuMilli * estimateMs) / MILLI_PER_CORE,
      ),
    ),
  };
}
