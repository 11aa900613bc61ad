/** The order in which waiting tasks are tried: by rank, then team with the least share, then arrival. */
import { taskId } from '../ids.js';
import { peekTask } from '../job.js';
import type { Task } from '../task.js';

import { RANKS, type QueuedJob, type Rank } from './memory.js';
import { teamRound, type Round } from './round.js';

/** A team's place in the queue of one rank. */
interface TeamCursor {
  readonly team: string;
  readonly queue: readonly QueuedJob[];
  at: number;
  /** Waiting tasks of the job at hand. */
  tasks: Iterator<Task> | undefined;
}

/** The task to try next. */
export interface Candidate {
  readonly entry: QueuedJob;
  readonly task: Task;
  readonly rank: Rank;
  readonly cursor: TeamCursor;
}

/** Cursors of all teams with waiting jobs, by rank. */
export type Order = Readonly<Record<Rank, TeamCursor[]>>;

/** Builds the order of one plan. */
export function newOrder(round: Round): Order {
  const { queues } = round.schedule.planning;
  const cursors = (rank: Rank) =>
    [...queues[rank]].map(([team, queue]) => ({
      team,
      queue,
      at: 0,
      tasks: undefined,
    }));
  return {
    urgent: cursors('urgent'),
    normal: cursors('normal'),
    low: cursors('low'),
  };
}

/** Returns the next task to try; undefined when none is left. */
export function nextCandidate(
  round: Round,
  order: Order,
): Candidate | undefined {
  for (const rank of RANKS) {
    const found = nextOfRank(round, order[rank], rank);
    if (found !== undefined) {
      return found;
    }
  }
  return undefined;
}

function nextOfRank(
  round: Round,
  cursors: TeamCursor[],
  rank: Rank,
): Candidate | undefined {
  while (cursors.length > 0) {
    const cursor = leastServed(round, cursors);
    const entry = cursor.queue[cursor.at];
    if (entry === undefined) {
      cursors.splice(cursors.indexOf(cursor), 1);
      continue;
    }
    cursor.tasks ??= waitingTasks(round, entry);
    const next = cursor.tasks.next();
    if (next.done !== true) {
      return { entry, task: next.value, rank, cursor };
    }
    skipJob(cursor);
  }
  return undefined;
}

/** Moves on to the team's next job. */
export function skipJob(cursor: TeamCursor): void {
  cursor.at += 1;
  cursor.tasks = undefined;
}

function leastServed(round: Round, cursors: readonly TeamCursor[]): TeamCursor {
  let least = cursors[0];
  let leastShare = Infinity;
  for (const cursor of cursors) {
    const { share } = teamRound(round, cursor.team);
    if (share < leastShare) {
      least = cursor;
      leastShare = share;
    }
  }
  if (least === undefined) {
    throw new Error('no team waits');
  }
  return least;
}

/** Yields the job's waiting tasks that may start now, requeued ones first. */
function* waitingTasks(round: Round, entry: QueuedJob): Generator<Task> {
  const { job } = entry;
  for (const index of job.queued) {
    const task = job.tasks.get(index);
    if (task !== undefined && isReady(round, entry, task)) {
      yield task;
    }
  }
  for (const range of job.fresh) {
    for (let index = range.next; index < range.end; index++) {
      const task = peekTask(job, index);
      if (task !== undefined && isReady(round, entry, task)) {
        yield task;
      }
    }
  }
}

function isReady(round: Round, entry: QueuedJob, task: Task): boolean {
  const { state } = task;
  const due = state.kind === 'queued' && state.readyAtWall <= round.now;
  return due && !round.busy.has(taskId(entry.job.spec.name, task.index));
}
