/** Promises checked while a simulated cluster runs. */
import {
  applyRecord,
  createScheduleState,
  decisionStream,
  decodeBatch,
  decodeDecision,
  withNamedShards,
} from '@paddlewind/domain';
import type { AttemptRun } from '@paddlewind/stand-ins';

import type { Cluster } from './hosts.js';

/** Violations seen so far, each a short sentence. */
export type Violations = string[];

/** Watches every begin of an attempt for a second place and for a worker over its capacity. */
export function watchPlaces(cluster: Cluster): Violations {
  const { workers, hosts } = cluster;
  const isRecorded = watchRecordedEnds(cluster);
  const violations: Violations = [];
  const capacity = new Map(hosts.map(host => [host.id, host.capacity.cpu]));
  const running = new Map<string, Set<AttemptRun>>();
  const byTask = new Map<string, AttemptRun>();
  workers.onBegin(run => {
    const twin = byTask.get(run.task);
    if (twin !== undefined && twin.endedAt === undefined) {
      const places = `${twin.worker} and ${run.worker}`;
      violations.push(`${run.task} runs on ${places}`);
    }
    if (twin?.state === 'completed') {
      // A completion that nobody could hear of is lost with its worker or agent.
      const since = workers.reachableSince(twin.worker);
      const wasHeard = since <= (twin.endedAt ?? 0);
      if (wasHeard || isRecorded(run.task)) {
        violations.push(`${run.task} begins again after its end`);
      }
    }
    byTask.set(run.task, run);
    const here = running.get(run.worker) ?? new Set();
    running.set(run.worker, here);
    here.add(run);
    let cpu = 0;
    for (const each of here) {
      if (each.endedAt === undefined) {
        cpu += each.spec.size.cpu;
      } else {
        here.delete(each);
      }
    }
    if (cpu > (capacity.get(run.worker) ?? 0)) {
      violations.push(`${run.worker} holds ${cpu} cores`);
    }
  });
  return violations;
}

/** Folds the decision streams on its own and tells whether a task's completion was recorded. */
function watchRecordedEnds({ log, hosts }: Cluster): (task: string) => boolean {
  const zones = new Set(hosts.map(host => host.availabilityZone));
  const ended = new Set<string>();
  const folds = [...zones].map(zone => ({
    stream: decisionStream(zone),
    state: createScheduleState([]),
    next: 0,
  }));
  return task => {
    for (const fold of folds) {
      for (const { offset, payload } of log.entries(fold.stream)) {
        if (offset < fold.next) {
          continue;
        }
        fold.next = offset + 1;
        const batch = decodeBatch(payload).unwrapOr(undefined);
        batch?.records.forEach((record, index) => {
          fold.state = withNamedShards(fold.state, record);
          const verdict = applyRecord(fold.state, record, { offset, index });
          const made = decodeDecision(record);
          const completes =
            made?.kind === 'task_ended' && made.body.result === 'completed';
          if (completes && verdict.kind === 'applied') {
            ended.add(made.body.task);
          }
        });
      }
    }
    return ended.has(task);
  };
}

/** Returns the tasks of a job that completed. */
export function completedTasks({ workers }: Cluster, job: string): Set<string> {
  const done = workers.runs.filter(
    run => run.spec.job === job && run.state === 'completed',
  );
  return new Set(done.map(run => run.task));
}

/** Returns the runs that have not ended. */
export function runningNow({ workers }: Cluster): AttemptRun[] {
  return workers.runs.filter(run => run.endedAt === undefined);
}
