/** Asks the advice service about waiting steps, one question at a time. */
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
import { ADVICE_RETRY_MS, ADVICE_SLACK_MS } from './timing.js';

/** Keeps at most one question under way. */
export class Adviser {
  private asking = false;

  /** Creates an adviser that files answers in `advice` and then calls `answered`. */
  constructor(
    private readonly ctx: HostContext,
    private readonly port: AdvicePort,
    private readonly advice: AdviceTickets,
    private readonly answered: () => void,
  ) {}

  /** Asks about the first waiting step that needs it, unless a question is under way. */
  askIfNeeded(input: PlanInput): void {
    if (this.asking) {
      return;
    }
    const question = this.nextQuestion(input);
    if (question !== undefined) {
      this.asking = true;
      void this.ask(question);
    }
  }

  private nextQuestion(input: PlanInput): AdviceRequest | undefined {
    const { state, workers, times, time } = input;
    const asking = [...state.open].filter(
      ({ spec }) => spec.terms.advice !== undefined,
    );
    for (const { step } of orderedCandidates(asking, times, time)) {
      const { terms } = step.occurrence.job.spec;
      const fitting = workers
        .filter(({ info }) => info.service === terms.service)
        .filter(({ info }) =>
          hasCapacity(info, workerRuns(state, info.id), step.spec),
        )
        .map(({ info }) => info.id);
      const question = this.advice.requestFor(step, fitting, time.now);
      if (question !== undefined) {
        return question;
      }
    }
    return undefined;
  }

  private async ask(question: AdviceRequest): Promise<void> {
    const { ctx } = this;
    const { step, workers } = question;
    const { occurrence, number } = step;
    const job = occurrence.job.spec;
    const ref = { job: job.id, occurrence: occurrence.number, step: number };
    const { decisionMs = 0, perWorkerMs = 0 } = job.terms.advice ?? {};
    const expectedMs = decisionMs + perWorkerMs * workers.length;
    const sentAt = ctx.clock();
    const found = await this.port.ask(
      ref,
      workers,
      expectedMs + ADVICE_SLACK_MS,
    );
    if (found.kind === 'advised') {
      this.advice.recordAnswer(
        question,
        found.tickets,
        sentAt + found.validityMs,
      );
      ctx.log.info(
        { ...ref, asked: workers.length, allowed: found.tickets.size },
        'advice: answered',
      );
    } else {
      ctx.log.warn({ ...ref, reason: found.reason }, 'advice: no answer');
      await pause(ctx, ADVICE_RETRY_MS);
    }
    this.asking = false;
    this.answered();
  }
}
