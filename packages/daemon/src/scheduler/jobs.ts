/** Jobs as operators submit, cancel and follow them, through any entry host. */
import {
  appError,
  decision,
  describeJob,
  objectsOf,
  type AppError,
  type Decision,
  type Instant,
  type JobDescription,
  type JobSpec,
  type ShardSpec,
} from '@paddlewind/domain';
import { Result } from 'true-myth';

import { scheduleOf, sleep } from '../log/timing.js';
import type { JobStatusFields, OperatorJobs } from '../operator/deps.js';
import { homeOf, type Home } from './home.js';
import type { SchedulerParts } from './types.js';
import type { Zone, Zones } from './zone.js';

const CATCH_UP_POLL_MS = 20;

/** Returns the shards of this process's region. */
export function shardsOf({ cfg, config }: SchedulerParts): ShardSpec[] {
  return objectsOf(config.current(), 'shard').filter(
    shard => shard.region === cfg.region,
  );
}

/** Creates the calls on jobs. */
export function createJobs(parts: SchedulerParts, zones: Zones): OperatorJobs {
  async function submit(
    id: string,
    job: JobSpec,
    deadline: Instant,
  ): Promise<Result<string, AppError>> {
    const home = homeOf(id, shardsOf(parts));
    if (home === undefined) {
      return Result.err(appError('not_ready', 'No shards are configured.'));
    }
    const { shard } = home;
    const submittedAtWall = parts.wall();
    const record = decision('job_submitted', { job, shard, submittedAtWall });
    const zone = await commit(parts, zones, home, record, deadline);
    return zone.andThen(at => verdictOn(at, job, home));
  }

  async function cancel(
    id: string,
    deadline: Instant,
  ): Promise<Result<void, AppError>> {
    const found = await find(id, deadline);
    if (found.isErr) {
      return Result.err(found.error);
    }
    const { home } = found.value;
    const record = decision('job_cancelled', { job: id });
    const done = await commit(parts, zones, home, record, deadline);
    return done.map(() => undefined);
  }

  async function status(
    id: string,
    deadline: Instant,
  ): Promise<Result<JobStatusFields, AppError>> {
    const found = await find(id, deadline);
    return found.map(({ described }) => toStatus(described));
  }

  async function find(
    id: string,
    deadline: Instant,
  ): Promise<Result<{ home: Home; described: JobDescription }, AppError>> {
    const home = homeOf(id, shardsOf(parts));
    if (home === undefined) {
      return Result.err(appError('not_ready', 'No shards are configured.'));
    }
    const zone = zones.open(home.zone);
    while (!zone.follower.caughtUp()) {
      if (parts.ctx.clock() >= deadline) {
        return Result.err(appError('not_ready', 'The log is being read.'));
      }
      await sleep(scheduleOf(parts.ctx), CATCH_UP_POLL_MS);
    }
    const described = describeJob(zone.state, id);
    return described === undefined
      ? Result.err(appError('not_found', `Job ${id} is not known.`))
      : Result.ok({ home, described });
  }

  return { submit, cancel, status };
}

/** Commits a record on a job and reads it back. */
async function commit(
  parts: SchedulerParts,
  zones: Zones,
  home: Home,
  record: Decision,
  deadline: Instant,
): Promise<Result<Zone, AppError>> {
  const zone = zones.open(home.zone);
  const result = await parts.committer.commit(zone.stream, record, deadline);
  if (result.isErr) {
    return Result.err(result.error);
  }
  const next = result.value.offset + 1;
  const read = await zone.follower.reach(next, deadline);
  return read.map(() => zone);
}

/** Returns the shard that holds the job, or `conflict` when its name is another job's. */
function verdictOn(
  zone: Zone,
  job: JobSpec,
  home: Home,
): Result<string, AppError> {
  const shard = zone.state.homes.get(job.name) ?? home.shard;
  const held = zone.state.shards.get(shard)?.jobs.get(job.name)?.spec;
  if (held !== undefined && JSON.stringify(held) !== JSON.stringify(job)) {
    const message = `Another job of the name ${job.name} was submitted before.`;
    return Result.err(appError('conflict', message));
  }
  return Result.ok(shard);
}

function toStatus(described: JobDescription): JobStatusFields {
  return {
    id: described.job,
    state: described.phase,
    reason: described.reason ?? '',
    tasks: described.tasks.map(task => ({
      id: task.id,
      state: task.state,
      attempt: task.attempt,
      worker: task.worker ?? '',
      progress: task.progress,
      reason: task.reason ?? '',
    })),
  };
}
