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
  /** Jobs of the team that its quota refused in this plan. */
  refusals: number;
}

/** The task to try next. */
export interface Candidate {
  readonly entry: QueuedJob;
  readonly task: Task;
  readonly rank: Rank;
  readonly cursor: TeamCursor;
}

/** The order of one plan: cursors of all teams with waiting jobs, by rank. */
export interface Order {
  readonly cursors: Readonly<Record<Rank, TeamCursor[]>>;
  /** The rank whose turn it is by its guaranteed part of the starts. */
  turn: Rank | undefined;
}

/** A rank gets at least one of this many starts while it waits and fits. */
const STARTS_PER_TURN: Readonly<Record<Rank, number>> = {
  urgent: Infinity,
  normal: 8,
  low: 32,
};

/** Builds the order of one plan. */
export function newOrder(round: Round): Order {
  const { queues, passed } = round.schedule.planning;
  const cursors = (rank: Rank) =>
    [...queues[rank]].map(([team, queue]) => ({
      team,
      queue,
      at: 0,
      tasks: undefined,
      refusals: 0,
    }));
  return {
    cursors: {
      urgent: cursors('urgent'),
      normal: cursors('normal'),
      low: cursors('low'),
    },
    turn: RANKS.find(rank => passed[rank] >= STARTS_PER_TURN[rank]),
  };
}

/** Counts a start of `rank` for the guaranteed parts of the others. */
export function countStart(round: Round, order: Order, rank: Rank): void {
  const { passed } = round.schedule.planning;
  passed[rank] = 0;
  for (const worse of RANKS.slice(RANKS.indexOf(rank) + 1)) {
    passed[worse] = order.cursors[worse].length > 0 ? passed[worse] + 1 : 0;
  }
  order.turn = RANKS.find(other => passed[other] >= STARTS_PER_TURN[other]);
}

/** Returns the next task to try; undefined when none is left. */
export function nextCandidate(
  round: Round,
  order: Order,
): Candidate | undefined {
  const { turn } = order;
  const ranks =
    turn === undefined ? RANKS : [turn, ...RANKS.filter(rank => rank !== turn)];
  for (const rank of ranks) {
    const found = nextOfRank(round, order.cursors[rank], rank);
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

/** Jobs of a team that its quota may refuse in one plan before the team is left for the next. */
const MAX_REFUSALS = 8;

/** Moves on from a job that the team's quota refused. */
export function refuseJob(cursor: TeamCursor): void {
  cursor.refusals += 1;
  skipJob(cursor);
  if (cursor.refusals >= MAX_REFUSALS) {
    cursor.at = cursor.queue.length;
  }
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
