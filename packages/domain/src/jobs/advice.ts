/** Tickets of the advice service, which alone knows the workers that a queue's policy allows a step. */
import type { Instant, Millis } from '../core/time.js';
import { waitingTasks, type Step } from './job.js';

/** Most workers that one question names. */
const MAX_NAMED = 30;
/** Workers named for each task that waits, so that some are allowed. */
const NAMED_PER_TASK = 3;
/** Fewest workers that a question names. */
const MIN_NAMED = 10;
/** A ticket that is valid for less than this is not used: an order may take as long. */
const TICKET_MARGIN_MS: Millis = 300;

/** A question about a step. */
export interface AdviceRequest {
  readonly step: Step;
  readonly workers: readonly string[];
}

interface Ticket {
  readonly ticket: string;
  readonly validUntil: Instant;
}

interface Known {
  /** Workers that were asked about; the answer for a worker does not change. */
  readonly asked: Set<string>;
  readonly tickets: Map<string, Ticket>;
}

/** What the advice service has said so far. */
export class AdviceTickets {
  private readonly steps = new WeakMap<Step, Known>();

  /** Whether a step may run on a worker now. */
  admits(step: Step, worker: string, now: Instant): boolean {
    return (
      !needsAdvice(step) || this.ticketFor(step, worker, now) !== undefined
    );
  }

  /** Returns the ticket for a run of the step on a worker. */
  ticketFor(step: Step, worker: string, now: Instant): string | undefined {
    const found = this.steps.get(step)?.tickets.get(worker);
    return found !== undefined && found.validUntil - TICKET_MARGIN_MS > now
      ? found.ticket
      : undefined;
  }

  /** Returns the question that a step needs answered, undefined when it needs none. */
  requestFor(
    step: Step,
    workers: readonly string[],
    now: Instant,
  ): AdviceRequest | undefined {
    const waiting = waitingTasks(step);
    if (!needsAdvice(step) || waiting.length === 0) {
      return undefined;
    }
    if (workers.some(worker => this.admits(step, worker, now))) {
      return undefined;
    }
    const known = this.steps.get(step);
    const allowed = workers.filter(worker => known?.tickets.has(worker));
    const fresh = workers.filter(worker => !known?.asked.has(worker));
    const wanted = Math.max(MIN_NAMED, NAMED_PER_TASK * waiting.length);
    const named = [...allowed, ...fresh].slice(0, Math.min(MAX_NAMED, wanted));
    return named.length === 0 ? undefined : { step, workers: named };
  }

  /** Takes in an answer whose tickets are valid until `validUntil`. */
  recordAnswer(
    { step, workers }: AdviceRequest,
    approved: ReadonlyMap<string, string>,
    validUntil: Instant,
  ): void {
    const known = this.steps.get(step) ?? {
      asked: new Set(),
      tickets: new Map(),
    };
    this.steps.set(step, known);
    for (const worker of workers) {
      known.asked.add(worker);
      known.tickets.delete(worker);
    }
    for (const [worker, ticket] of approved) {
      known.tickets.set(worker, { ticket, validUntil });
    }
  }

  /** Forgets a ticket that a worker has refused. */
  discardTicket(step: Step, worker: string): void {
    this.steps.get(step)?.tickets.delete(worker);
  }
}

/** Tells whether runs of the step need a ticket. */
export function needsAdvice({ occurrence }: Step): boolean {
  return occurrence.job.spec.terms.advice !== undefined;
}
