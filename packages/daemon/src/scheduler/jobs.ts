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
  type Resources,
  type ShardSpec,
} from '@paddlewind/domain';
import type { Host } from '@paddlewind/ports';
import { Result } from 'true-myth';

import { LOG_RETRY_AFTER_MS, notWrittenError } from '../log/commit-queue.js';
import { scheduleOf, sleep } from '../log/timing.js';
import type { JobStatusFields, OperatorJobs } from '../operator/deps.js';
import { chooseHome, registryZone, type Home, type HomeView } from './home.js';
import { reservedOn } from './schedule-view.js';
import type { SchedulerParts } from './types.js';
import type { Zone, Zones } from './zone.js';

const CATCH_UP_POLL_MS = 20;

/** Returns the shards of this process's region. */
export function shardsOf({ cfg, config }: SchedulerParts): ShardSpec[] {
  return objectsOf(config.current(), 'shard').filter(
    shard => shard.region === cfg.region,
  );
}

/** Ways to the zones' streams. */
interface JobZones {
  /** Returns the home that the zone's stream settles for a job. */
  readonly homeIn: (zone: Zone, job: string) => Home | undefined;
  /** Commits a record on a job and reads it back. */
  readonly commit: (
    zone: string,
    record: Decision,
    deadline: Instant,
  ) => Promise<Result<Zone, AppError>>;
  /** Returns the zone once everything in its stream is folded. */
  readonly readZone: (
    zone: string,
    deadline: Instant,
  ) => Promise<Result<Zone, AppError>>;
}

/** Creates the calls on jobs. */
export function createJobs(parts: SchedulerParts, zones: Zones): OperatorJobs {
  const { homeIn, commit, readZone } = createJobZones(parts, zones);

  async function submit(
    id: string,
    job: JobSpec,
    deadline: Instant,
  ): Promise<Result<string, AppError>> {
    const shards = shardsOf(parts);
    const registry = registryZone(id, shards);
    const proposed = chooseHome(job, homeView(parts, shards));
    if (registry === undefined || proposed === undefined) {
      return Result.err(appError('not_ready', 'No shards are configured.'));
    }
    const { shard } = proposed;
    const isNear = proposed.zone === registry;
    const first = isNear
      ? submission(parts, job, shard)
      : decision('job_homed', { job: id, shard });
    const settled = await commit(registry, first, deadline);
    if (settled.isErr) {
      return Result.err(settled.error);
    }
    const home = homeIn(settled.value, id) ?? proposed;
    if (home.zone === registry) {
      return verdictOn(settled.value, job, home);
    }
    const record = submission(parts, job, home.shard);
    const held = await commit(home.zone, record, deadline);
    return held.andThen(zone => verdictOn(zone, job, home));
  }

  const cancel: OperatorJobs['cancel'] = (id, deadline) =>
    decide(id, decision('job_cancelled', { job: id }), deadline);

  const release: OperatorJobs['release'] = (id, request, deadline) =>
    decide(id, decision('job_released', { job: id, request }), deadline);

  /** Commits a decision on a known job to the zone that holds it. */
  async function decide(
    id: string,
    record: Decision,
    deadline: Instant,
  ): Promise<Result<void, AppError>> {
    const found = await find(id, deadline);
    if (found.isErr) {
      return Result.err(found.error);
    }
    const done = await commit(found.value.zone, record, deadline);
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
  ): Promise<Result<{ zone: string; described: JobDescription }, AppError>> {
    const registry = registryZone(id, shardsOf(parts));
    if (registry === undefined) {
      return Result.err(appError('not_ready', 'No shards are configured.'));
    }
    const read = await readZone(registry, deadline);
    if (read.isErr) {
      return Result.err(read.error);
    }
    const zone = homeIn(read.value, id)?.zone ?? registry;
    const held = zone === registry ? read : await readZone(zone, deadline);
    return held.andThen(at => {
      const described = describeJob(at.state, id);
      return described === undefined
        ? Result.err(appError('not_found', `Job ${id} is not known.`))
        : Result.ok({ zone, described });
    });
  }

  return { submit, cancel, release, status };
}

function submission(
  { wall }: SchedulerParts,
  job: JobSpec,
  shard: string,
): Decision {
  return decision('job_submitted', { job, shard, submittedAtWall: wall() });
}

function createJobZones(parts: SchedulerParts, zones: Zones): JobZones {
  const { clock } = parts.ctx;
  let refuseUntil: Instant = -Infinity;

  /** Tells whether the log is known not to answer, so that a refusal need not wait for it. */
  function isLogDown(now: Instant): boolean {
    const outage = parts.ownership.logGoodSince() === Number.POSITIVE_INFINITY;
    return outage || now < refuseUntil;
  }

  function homeIn(zone: Zone, job: string): Home | undefined {
    const name = zone.state.homes.get(job);
    const spec = shardsOf(parts).find(each => each.name === name);
    return spec && { zone: spec.availabilityZone, shard: spec.name };
  }

  async function commit(
    name: string,
    record: Decision,
    deadline: Instant,
  ): Promise<Result<Zone, AppError>> {
    const now = clock();
    if (isLogDown(now)) {
      return Result.err(notWrittenError('The log does not answer.'));
    }
    const zone = zones.open(name);
    // The other half is left to the caller to try again.
    const commitBy = now + (deadline - now) / 2;
    const result = await parts.committer.commit(zone.stream, record, commitBy);
    if (result.isErr) {
      if (result.error.kind === 'log_unavailable') {
        refuseUntil = clock() + LOG_RETRY_AFTER_MS;
      }
      return Result.err(result.error);
    }
    const next = result.value.offset + 1;
    const read = await zone.follower.waitForOffset(next, deadline);
    return read.map(() => zone);
  }

  async function readZone(
    name: string,
    deadline: Instant,
  ): Promise<Result<Zone, AppError>> {
    const zone = zones.open(name);
    while (!zone.follower.caughtUp()) {
      if (parts.ctx.clock() >= deadline) {
        return Result.err(appError('not_ready', 'The log is being read.'));
      }
      await sleep(scheduleOf(parts.ctx), CATCH_UP_POLL_MS);
    }
    return Result.ok(zone);
  }

  return { homeIn, commit, readZone };
}

function homeView(
  { config, hosts }: SchedulerParts,
  shards: readonly ShardSpec[],
): HomeView {
  const services = objectsOf(config.current(), 'service');
  const reserved = (host: Host): Resources => reservedOn(host, services);
  return { shards, hosts: hosts.hosts(), reserved };
}

/** Returns the shard that holds the job, or `conflict` when its name is another job's. */
function verdictOn(
  zone: Zone,
  job: JobSpec,
  { shard }: Home,
): Result<string, AppError> {
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
