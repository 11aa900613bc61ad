/** The attempts of tasks, paired from their events. */
import { eventsOf, groupBy, type EventOf, type History } from '../history.js';

/** An attempt as its worker ran it; without an end it still runs. */
export interface Attempt {
  readonly began: EventOf<'task_began'>;
  readonly ended: EventOf<'task_ended'> | undefined;
}

/** Returns every attempt in order of its start. */
export function attemptsOf(history: History): Attempt[] {
  const ends = groupBy(eventsOf(history, 'task_ended'), keyOf);
  return eventsOf(history, 'task_began').map(began => {
    const found = ends.get(keyOf(began))?.find(end => end.at >= began.at);
    return { began, ended: found };
  });
}

/** Returns the attempts by task, each in order of its start. */
export function attemptsByTask(history: History): Map<string, Attempt[]> {
  return groupBy(attemptsOf(history), ({ began }) => began.task);
}

/** Returns the instant at which an attempt ended, or infinity. */
export function endOf({ ended }: Attempt): number {
  return ended?.at ?? Infinity;
}

/** Returns the events of an attempt. */
export function eventsOfAttempt({ began, ended }: Attempt) {
  return ended === undefined ? [began] : [began, ended];
}

function keyOf(event: {
  readonly boot: string;
  readonly task: string;
  readonly attempt: number;
}): string {
  return `${event.boot}/${event.task}#${event.attempt}`;
}
