/** The requests of callers, joined from their events. */
import { eventsOf, groupBy, type EventOf, type History } from '../history.js';

/** A request with all that happened to it. */
export interface Request {
  readonly sent: EventOf<'request_sent'>;
  readonly done: EventOf<'request_done'> | undefined;
  readonly began: readonly EventOf<'request_began'>[];
  readonly ended: readonly EventOf<'request_ended'>[];
}

/** Returns every request in the order of sending. */
export function requestsOf(history: History): Request[] {
  const byRequest = (event: { readonly request: string }) => event.request;
  const began = groupBy(eventsOf(history, 'request_began'), byRequest);
  const ended = groupBy(eventsOf(history, 'request_ended'), byRequest);
  const done = new Map(
    eventsOf(history, 'request_done').map(event => [event.request, event]),
  );
  return eventsOf(history, 'request_sent').map(sent => ({
    sent,
    done: done.get(sent.request),
    began: began.get(sent.request) ?? [],
    ended: ended.get(sent.request) ?? [],
  }));
}
