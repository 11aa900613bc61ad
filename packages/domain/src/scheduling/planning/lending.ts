/** Loans of quota between the shards of an availability zone, and the reports that ask for them. */
import {
  NO_RESOURCES,
  addResources,
  fits,
  maxResources,
  subtractResources,
  type Resources,
} from '../../core/resources.js';
import type { Millis } from '../../core/time.js';
import { freshCount } from '../job.js';
import { decision } from '../records.js';
import type { ShardReport } from '../shard.js';

import {
  decide,
  lendFrom,
  teamRound,
  type Round,
  type TeamRound,
} from './round.js';

/** Time between two reports when nothing is lacking. */
const REPORT_MS: Millis = 10_000;
/** Time between two reports when a team lacks quota. */
const ASK_MS: Millis = 1_000;
/** A report older than this is not answered. */
const ANSWER_MS: Millis = 30_000;
/** Waiting jobs that a report sums up at most. */
const JOBS_SUMMED = 256;

/** Lends spare allotments to shards that lack them. */
export function lendQuota(round: Round): void {
  for (const report of round.state.reports.values()) {
    const fresh = report.atWall > round.now - ANSWER_MS;
    if (report.shard !== round.view.shard && fresh) {
      answer(round, report);
    }
  }
}

function answer(round: Round, report: ShardReport): void {
  const { answered } = round.schedule.planning;
  for (const [name, lacking] of Object.entries(report.lacking)) {
    const key = `${name} ${report.shard}`;
    if ((answered.get(key) ?? 0) >= report.atWall) {
      continue;
    }
    answered.set(key, report.atWall);
    lend(round, name, report.shard, lacking);
  }
}

function lend(
  round: Round,
  name: string,
  toShard: string,
  lacking: Resources,
): void {
  const team = teamRound(round, name);
  const spare = spareOf(round, team);
  const amount = minResources(lacking, spare);
  if (fits(amount, NO_RESOURCES)) {
    return;
  }
  const made = decision('quota_lent', {
    team: name,
    fromShard: round.view.shard,
    toShard,
    epoch: round.view.epoch,
    loan: nextLoan(round),
    amount,
  });
  if (decide(round, made)) {
    lendFrom(team, amount);
  }
}

/** Returns what the team does not use here; nothing while it has work waiting here. */
function spareOf(round: Round, team: TeamRound): Resources {
  const { queues } = round.schedule.planning;
  const waits = Object.values(queues).some(queue => queue.has(team.view.name));
  if (team.limit === undefined || waits) {
    return NO_RESOURCES;
  }
  const spare = subtractResources(team.limit, team.used);
  return maxResources(spare, NO_RESOURCES);
}

function minResources(a: Resources, b: Resources): Resources {
  return {
    cpu: Math.min(a.cpu, b.cpu),
    memoryMiB: Math.min(a.memoryMiB, b.memoryMiB),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}

function nextLoan(round: Round): number {
  let last = round.state.loans.get(round.view.shard) ?? 0;
  for (const made of [...round.view.pending, ...round.decisions]) {
    if (made.kind === 'quota_lent') {
      last = Math.max(last, made.body.loan);
    }
  }
  return last + 1;
}

/** Reports free room, waiting work and lacking quota to the other shards, when it is time. */
export function reportShard(round: Round): void {
  const memory = round.schedule.planning;
  const lacking = lackingTeams(round);
  const some = Object.keys(lacking).length > 0;
  const due = memory.reportedAtWall + (some ? ASK_MS : REPORT_MS);
  if (round.view.siblings.length === 0 || round.now < due) {
    return;
  }
  memory.reportedAtWall = round.now;
  decide(
    round,
    decision('shard_reported', {
      shard: round.view.shard,
      epoch: round.view.epoch,
      atWall: round.now,
      free: freeRoom(round),
      waiting: waitingWork(round),
      lacking,
    }),
  );
}

function lackingTeams(round: Round): Record<string, Resources> {
  const lacking: Record<string, Resources> = {};
  for (const [name, team] of round.teams) {
    if (!fits(team.lacking, NO_RESOURCES)) {
      lacking[name] = team.lacking;
    }
  }
  return lacking;
}

function freeRoom(round: Round): Resources {
  let free = NO_RESOURCES;
  for (const room of round.rooms.values()) {
    if (room.open) {
      const unclaimed = subtractResources(room.room, room.claimed);
      free = addResources(free, maxResources(unclaimed, NO_RESOURCES));
    }
  }
  return free;
}

function waitingWork(round: Round): Resources {
  let cpu = 0;
  let memoryMiB = 0;
  let accelerators = 0;
  let jobs = 0;
  for (const { job } of round.schedule.planning.queued.values()) {
    const tasks = job.queued.size + freshCount(job);
    cpu += job.spec.size.cpu * tasks;
    memoryMiB += job.spec.size.memoryMiB * tasks;
    accelerators += job.spec.size.accelerators * tasks;
    jobs += 1;
    if (jobs >= JOBS_SUMMED) {
      break;
    }
  }
  return { cpu, memoryMiB, accelerators };
}
