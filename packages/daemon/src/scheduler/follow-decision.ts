/** What a shard's owner does at the workers when a decision was folded. */
import type { Decision, Instant, ShardSchedule } from '@paddlewind/domain';
import type { AttemptRef } from '@paddlewind/ports';

import { placedAttempt } from './placed.js';
import type { WorkerCommands } from './worker-commands.js';
import { attemptKey, type WorkerLink } from './worker-link.js';

type Links = ReadonlyMap<string, WorkerLink>;

/** Starts what was decided to start, and asks soon where something is to end. */
export function followDecision(
  schedule: ShardSchedule,
  commands: WorkerCommands,
  links: Links,
  decision: Decision,
  now: Instant,
): void {
  if (decision.kind === 'task_started') {
    const placed = placedAttempt(schedule, decision.body.task);
    const link = links.get(placed?.worker ?? '');
    if (placed !== undefined && link !== undefined) {
      void commands.start(link, placed);
    }
  } else if (decision.kind === 'task_evicting') {
    const placed = placedAttempt(schedule, decision.body.task);
    syncAt(links.get(placed?.worker ?? ''), now);
  } else if (decision.kind === 'job_cancelled') {
    const job = schedule.jobs.get(decision.body.job);
    for (const worker of job?.spread.keys() ?? []) {
      syncAt(links.get(worker), now);
    }
  } else if (decision.kind === 'task_ended') {
    forgetAttempt(links, decision.body);
  }
}

function syncAt(link: WorkerLink | undefined, now: Instant): void {
  if (link !== undefined) {
    link.syncDueAt = Math.min(link.syncDueAt, now);
  }
}

/** An attempt whose end is folded is acknowledged with the next sync. */
function forgetAttempt(links: Links, { task, attempt }: AttemptRef): void {
  const key = attemptKey({ task, attempt });
  for (const link of links.values()) {
    if (link.starts.delete(key)) {
      link.acknowledge.set(key, { task, attempt });
    }
  }
}
