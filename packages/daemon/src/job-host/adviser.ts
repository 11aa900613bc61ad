/** Requests advice for waiting steps from the advice service, one request at a time. */
import {
  orderedCandidates,
  hasCapacity,
  workerRuns,
  type AdviceTickets,
  type PlanInput,
  type AdviceRequest,
} from '@paddlewind/domain/jobs';
import type { AdvicePort } from '@paddlewind/ports/jobs';

import { pause, type HostContext } from './context.js';
import { ADVICE_RETRY_MS, ADVICE_EXTRA_TIME_MS } from './timing.js';

/** Sends requests to the advice service, with at most one in flight. */
export class Adviser {
  private requestInFlight = false;

  /** Creates an adviser that stores answers in `advice` and calls `onAnswer` after each request. */
  constructor(
    private readonly ctx: HostContext,
    private readonly port: AdvicePort,
    private readonly advice: AdviceTickets,
    private readonly onAnswer: () => void,
  ) {}

  /** Requests advice for the first waiting step that needs it, unless a request is in flight. */
  askIfNeeded(input: PlanInput): void {
    if (this.requestInFlight) {
      return;
    }
    const request = this.nextRequest(input);
    if (request !== undefined) {
      this.requestInFlight = true;
      void this.ask(request);
    }
  }

  private nextRequest(input: PlanInput): AdviceRequest | undefined {
    const { state, workers, times, time } = input;
    const jobsWithAdvice = [...state.openJobs].filter(
      ({ spec }) => spec.terms.advice !== undefined,
    );
    for (const { step } of orderedCandidates(jobsWithAdvice, times, time)) {
      const { terms } = step.occurrence.job.spec;
      const fitting = workers
        .filter(({ info }) => info.service === terms.service)
        .filter(({ info }) =>
          hasCapacity(info, workerRuns(state, info.id), step.spec),
        )
        .map(({ info }) => info.id);
      const request = this.advice.requestFor(step, fitting, time.now);
      if (request !== undefined) {
        return request;
      }
    }
    return undefined;
  }

  private async ask(request: AdviceRequest): Promise<void> {
    const { ctx } = this;
    const { step, workers } = request;
    const { occurrence, number } = step;
    const job = occurrence.job.spec;
    const ref = { job: job.id, occurrence: occurrence.number, step: number };
    const { decisionMs = 0, perWorkerMs = 0 } = job.terms.advice ?? {};
    const expectedMs = decisionMs + perWorkerMs * workers.length;
    const sentAt = ctx.clock();
    const answer = await this.port.ask(
      ref,
      workers,
      expectedMs + ADVICE_EXTRA_TIME_MS,
    );
    if (answer.kind === 'advised') {
      this.advice.recordAnswer(
        request,
        answer.tickets,
        sentAt + answer.validityMs,
      );
      ctx.log.info(
        { ...ref, asked: workers.length, allowed: answer.tickets.size },
        'advice: answered',
      );
    } else {
      ctx.log.warn({ ...ref, reason: answer.reason }, 'advice: no answer');
      await pause(ctx, ADVICE_RETRY_MS);
    }
    this.requestInFlight = false;
    this.onAnswer();
  }
}
