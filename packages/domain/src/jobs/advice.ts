/** Tickets of the advice service, which decides on which workers a queue's policy allows a step to run. */
import type { Instant, Millis } from '../core/time.js';
import { waitingTasks, type Step } from './job.js';

/** Most workers in one request. */
const MAX_WORKERS_PER_REQUEST = 30;
/** Workers requested for each waiting task, since not all of them will be approved. */
const WORKERS_PER_WAITING_TASK = 3;
/** Fewest workers in one request, if there are as many. */
const MIN_WORKERS_PER_REQUEST = 10;
/** Validity that a ticket must have left to be used, since a start command may take this long. */
const TICKET_MARGIN_MS: Millis = 300;

/** A request for tickets to run a step on any of `workers`. */
export interface AdviceRequest {
  readonly step: Step;
  readonly workers: readonly string[];
}

interface Ticket {
  readonly ticket: string;
  readonly validUntil: Instant;
}

interface StepAdvice {
  /** Workers already requested; the decision on a worker does not change. */
  readonly asked: Set<string>;
  readonly tickets: Map<string, Ticket>;
}

/** Tickets and refusals that the advice service has returned so far. */
export class AdviceTickets {
  private readonly adviceByStep = new WeakMap<Step, StepAdvice>();

  /** Tells whether a step may run on a worker now. */
  admits(step: Step, worker: string, now: Instant): boolean {
    return (
      !needsAdvice(step) || this.ticketFor(step, worker, now) !== undefined
    );
  }

  /** Returns a valid ticket for running the step on a worker, or undefined. */
  ticketFor(step: Step, worker: string, now: Instant): string | undefined {
    const found = this.adviceByStep.get(step)?.tickets.get(worker);
    return found !== undefined && found.validUntil - TICKET_MARGIN_MS > now
      ? found.ticket
      : undefined;
  }

  /** Returns the request to send for a step, or undefined if none is needed. */
  requestFor(
    step: Step,
    workers: readonly string[],
    now: Instant,
  ): AdviceRequest | undefined {
    if (!needsAdvice(step) || step.waiting === 0) {
      return undefined;
    }
    const waiting = waitingTasks(step);
    if (workers.some(worker => this.admits(step, worker, now))) {
      return undefined;
    }
    const known = this.adviceByStep.get(step);
    const allowed = workers.filter(worker => known?.tickets.has(worker));
    const notAsked = workers.filter(worker => !known?.asked.has(worker));
    const wanted = Math.max(
      MIN_WORKERS_PER_REQUEST,
      WORKERS_PER_WAITING_TASK * waiting.length,
    );
    const selected = [...allowed, ...notAsked].slice(
      0,
      Math.min(MAX_WORKERS_PER_REQUEST, wanted),
    );
    return selected.length === 0 ? undefined : { step, workers: selected };
  }

  /** Records the answer to a request; its tickets are valid until `validUntil`. */
  recordAnswer(
    { step, workers }: AdviceRequest,
    approved: ReadonlyMap<string, string>,
    validUntil: Instant,
  ): void {
    const known = this.adviceByStep.get(step) ?? {
      asked: new Set(),
      tickets: new Map(),
    };
    this.adviceByStep.set(step, known);
    for (const worker of workers) {
      known.asked.add(worker);
      known.tickets.delete(worker);
    }
    for (const [worker, ticket] of approved) {
      known.tickets.set(worker, { ticket, validUntil });
    }
  }

  /** Discards a ticket that a worker has refused. */
  discardTicket(step: Step, worker: string): void {
    this.adviceByStep.get(step)?.tickets.delete(worker);
  }
}

/** Tells whether runs of the step need a ticket. */
export function needsAdvice({ occurrence }: Step): boolean {
  return occurrence.job.spec.terms.advice !== undefined;
}
