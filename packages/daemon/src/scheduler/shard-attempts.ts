/** Control of the attempts that run on one shard, for the policy against interference. */
import {
  decision,
  objectsOf,
  parseTaskId,
  policyFor,
  type Instant,
  type ShardSpec,
  type Task,
} from '@paddlewind/domain';

import type { ShardOwnership } from '../shards/types.js';
import type { DecisionWriter } from './decision-writer.js';
import type { LeaseMode } from './lease-mode.js';
import { placedAttempt } from './placed.js';
import type {
  AttemptControl,
  RunningAttempt,
  SchedulerParts,
} from './types.js';
import type { WorkerSyncs } from './worker-syncs.js';
import type { Zone } from './zone.js';

const HOUR_MS = 3_600_000;

/** What the control of a shard's attempts is given. */
export interface ShardAttemptsParts {
  readonly parts: Pick<SchedulerParts, 'wall' | 'config'> & {
    readonly ownership: Pick<ShardOwnership, 'logGoodSince'>;
  };
  readonly zone: Pick<Zone, 'state'>;
  readonly spec: Pick<ShardSpec, 'name'>;
  readonly epoch: number;
  readonly writer: Pick<DecisionWriter, 'write'>;
  readonly syncs: Pick<WorkerSyncs, 'throttle'>;
  readonly mode: () => LeaseMode;
  readonly mayDecide: () => boolean;
}

/** Creates the control of a shard's attempts. */
export function createShardAttempts(input: ShardAttemptsParts): AttemptControl {
  return {
    running: () => runningAttempts(input),
    throttle: ({ worker, ref }, share) =>
      input.syncs.throttle(worker, ref, share),
    evict: attempt => evict(input, attempt),
  };
}

function scheduleOf({ zone, spec }: ShardAttemptsParts) {
  return zone.state.shards.get(spec.name);
}

function runningAttempts(input: ShardAttemptsParts): RunningAttempt[] {
  const schedule = scheduleOf(input);
  const found: RunningAttempt[] = [];
  for (const load of schedule?.workers.values() ?? []) {
    for (const task of load.sizes.keys()) {
      const state = taskOf(input, task)?.state;
      const placed = schedule && placedAttempt(schedule, task);
      if (state?.kind === 'running' && placed !== undefined) {
        found.push({
          shard: input.spec.name,
          worker: load.id,
          ref: placed.ref,
          job: placed.job,
          size: placed.size,
          startedAtWall: state.startedAtWall,
          savedAtWall: load.observed.get(task)?.savedAtWall,
        });
      }
    }
  }
  return found;
}

function taskOf(input: ShardAttemptsParts, id: string): Task | undefined {
  const name = parseTaskId(id);
  return scheduleOf(input)?.jobs.get(name.job)?.tasks.get(name.index);
}

/** Records the eviction of an attempt if it still runs and its policy allows one more. */
function evict(
  input: ShardAttemptsParts,
  { ref, job }: RunningAttempt,
): boolean {
  const { parts, writer, spec, epoch } = input;
  const task = taskOf(input, ref.task);
  const runs = task?.state.kind === 'running' && task.attempts === ref.attempt;
  const atWall = parts.wall();
  const outage = parts.ownership.logGoodSince() === Number.POSITIVE_INFINITY;
  const decides = input.mayDecide() && input.mode() === 'leased' && !outage;
  if (!runs || !decides) {
    return false;
  }
  const policies = objectsOf(parts.config.current(), 'policy');
  const policy = policyFor(policies, job.labels);
  const evictions = evictionsWithinHour(task, atWall);
  if (!policy.preemptible || evictions + 1 > policy.evictionsPerHour) {
    return false;
  }
  const body = { shard: spec.name, epoch, ...ref, atWall };
  writer.write(decision('task_evicting', { ...body, reason: 'interference' }));
  return true;
}

function evictionsWithinHour(task: Task, atWall: Instant): number {
  return task.evictedAtWall.filter(at => atWall - at < HOUR_MS).length;
}
