/** The order in which waiting tasks are tried: by rank, then team with the least share, then arrival. */
import { peekTask } from '../job.js';
import type { Task } from '../task.js';

import { RANKS, type QueuedJob, type Rank } from './memory.js';
import { teamRound, type Round, type TeamRound } from './round.js';

/** A team's place in the queue of one rank. */
interface TeamCursor {
  readonly team: TeamRound;
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

/** The teams of one rank that have waiting jobs. */
interface Line {
  /** The team with the least share first, while `sorted`. */
  readonly cursors: TeamCursor[];
  sorted: boolean;
  /** Whether this plan has tried the job of the rank that was served least recently. */
  oldestTried: boolean;
}

/** The order of one plan. */
export interface Order {
  readonly lines: Readonly<Record<Rank, Line>>;
  /** The rank whose turn it is by its guaranteed part of the starts. */
  turn: Rank | undefined;
  /** Jobs that this plan may yet pass over as hopeless. */
  skipsLeft: number;
}

/** Tells whether trying a job's tasks in this plan cannot change anything. */
export type IsHopeless = (entry: QueuedJob, rank: Rank) => boolean;

/** Jobs that one plan passes over at most. */
const MAX_SKIPS = 256;
/** Jobs of a team that its quota may refuse in one plan before the team is left for the next. */
const MAX_REFUSALS = 8;
/** One of so many starts of a rank goes to the job served least recently, whatever its team's share. */
const STARTS_PER_OLDEST = 8;
/** A rank gets at least one of this many starts while it waits and fits. */
const STARTS_PER_TURN: Readonly<Record<Rank, number>> = {
  urgent: Infinity,
  normal: 8,
  low: 32,
};

/** Builds the order of one plan. */
export function newOrder(round: Round): Order {
  const { passed } = round.schedule.planning;
  return {
    lines: {
      urgent: newLine(round, 'urgent'),
      normal: newLine(round, 'normal'),
      low: newLine(round, 'low'),
    },
    turn: RANKS.find(rank => passed[rank] >= STARTS_PER_TURN[rank]),
    skipsLeft: MAX_SKIPS,
  };
}

function newLine(round: Round, rank: Rank): Line {
  const { queues, started } = round.schedule.planning;
  const cursors = [...queues[rank]].map(([team, queue]) => ({
    team: teamRound(round, team),
    queue,
    at: 0,
    tasks: undefined,
    refusals: 0,
  }));
  const oldestTried = !isOldestDue(started[rank]);
  return { cursors, sorted: false, oldestTried };
}

function isOldestDue(started: number): boolean {
  return started % STARTS_PER_OLDEST === 0;
}

/** Counts a start for the guaranteed parts of the ranks; the shares of teams have changed. */
export function countStart(round: Round, order: Order, rank: Rank): void {
  const { passed, started } = round.schedule.planning;
  started[rank] += 1;
  passed[rank] = 0;
  for (const worse of RANKS.slice(RANKS.indexOf(rank) + 1)) {
    const waits = order.lines[worse].cursors.length > 0;
    passed[worse] = waits ? passed[worse] + 1 : 0;
  }
  order.turn = RANKS.find(other => passed[other] >= STARTS_PER_TURN[other]);
  order.lines[rank].oldestTried = !isOldestDue(started[rank]);
  RANKS.forEach(other => {
    order.lines[other].sorted = false;
  });
}

/** Counts the start of a candidate; only its team's place in the line of its rank has changed. */
export function countCandidate(
  round: Round,
  order: Order,
  { rank, cursor }: Candidate,
): void {
  const line = order.lines[rank];
  const { sorted } = line;
  countStart(round, order, rank);
  replace(line.cursors, cursor);
  line.sorted = sorted;
}

/** Puts a cursor whose team's share has grown where it belongs. */
function replace(cursors: TeamCursor[], cursor: TeamCursor): void {
  const at = cursors.indexOf(cursor);
  let place = at;
  let next = cursors[place + 1];
  while (next !== undefined && next.team.share < cursor.team.share) {
    cursors[place] = next;
    place += 1;
    next = cursors[place + 1];
  }
  cursors[place] = cursor;
}

/** Returns the next task to try; undefined when none is left. */
export function nextCandidate(
  round: Round,
  order: Order,
  isHopeless: IsHopeless,
): Candidate | undefined {
  const { turn } = order;
  const ranks =
    turn === undefined ? RANKS : [turn, ...RANKS.filter(rank => rank !== turn)];
  for (const rank of ranks) {
    const found = nextOfRank(round, order, rank, isHopeless);
    if (found !== undefined) {
      return found;
    }
  }
  return undefined;
}

function nextOfRank(
  round: Round,
  order: Order,
  rank: Rank,
  isHopeless: IsHopeless,
): Candidate | undefined {
  const line = order.lines[rank];
  for (;;) {
    const cursor = nextCursor(line);
    if (cursor === undefined || order.skipsLeft <= 0) {
      return undefined;
    }
    const entry = cursor.queue[cursor.at];
    if (entry === undefined) {
      line.cursors.splice(line.cursors.indexOf(cursor), 1);
      continue;
    }
    if (cursor.tasks === undefined && isHopeless(entry, rank)) {
      order.skipsLeft -= 1;
      skipJob(cursor);
      continue;
    }
    cursor.tasks ??= waitingTasks(round, entry);
    const next = cursor.tasks.next();
    if (next.done !== true) {
      return { entry, task: next.value, rank, cursor };
    }
    skipJob(cursor);
  }
}

function nextCursor(line: Line): TeamCursor | undefined {
  if (!line.oldestTried) {
    line.oldestTried = true;
    return longestWaiting(line.cursors);
  }
  if (!line.sorted) {
    line.cursors.sort((a, b) => a.team.share - b.team.share);
    line.sorted = true;
  }
  return line.cursors[0];
}

/** Returns the team whose job at hand was served least recently. */
function longestWaiting(
  cursors: readonly TeamCursor[],
): TeamCursor | undefined {
  let oldest: TeamCursor | undefined;
  let since = Infinity;
  for (const cursor of cursors) {
    const servedAt = cursor.queue[cursor.at]?.job.servedAtWall ?? Infinity;
    if (servedAt < since) {
      oldest = cursor;
      since = servedAt;
    }
  }
  return oldest;
}

/** Moves on to the team's next job. */
export function skipJob(cursor: TeamCursor): void {
  cursor.at += 1;
  cursor.tasks = undefined;
}

/** Moves on from a job that the team's quota refused. */
export function refuseJob(cursor: TeamCursor): void {
  cursor.refusals += 1;
  skipJob(cursor);
  if (cursor.refusals >= MAX_REFUSALS) {
    cursor.at = cursor.queue.length;
  }
}

/** Yields the job's waiting tasks that may start now, requeued ones first. */
function* waitingTasks(round: Round, entry: QueuedJob): Generator<Task> {
  const { job } = entry;
  for (const index of job.queued) {
    const task = job.tasks.get(index);
    if (task !== undefined && isReady(round, task)) {
      yield task;
    }
  }
  for (const range of job.fresh) {
    for (let index = range.next; index < range.end; index++) {
      const task = peekTask(job, index);
      if (task !== undefined && isReady(round, task)) {
        yield task;
      }
    }
  }
}

/** Tells whether a task may be started now. */
export function isReady(round: Round, task: Task): boolean {
  const { state } = task;
  const due = state.kind === 'queued' && state.readyAtWall <= round.now;
  return due && !round.busy.has(task.id);
}
