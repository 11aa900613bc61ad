/** Check of the rule LOST: a job that has nothing running although there is capacity for it. */

/** Returns what `events` tell at each change: the time, the capacity in use, and the jobs with runs. */
function changesOf(events) {
  const active = new Map();
  const changes = [{ at: 0, cpu: 0, running: new Set() }];
  for (const { at, kind, task, run, cpu } of events) {
    if (kind === 'start') {
      active.set(`${task}#${run}`, { job: jobOf(task), cpu });
    } else if (kind === 'end') {
      active.delete(`${task}#${run}`);
    } else {
      continue;
    }
    const runs = [...active.values()];
    changes.push({
      at,
      cpu: runs.reduce((sum, used) => sum + used.cpu, 0),
      running: new Set(runs.map(({ job }) => job)),
    });
  }
  return changes;
}

function jobOf(task) {
  return task.split('.')[0];
}

/** Returns the number of tasks of each job that have ended `done`. */
function doneTasks(events) {
  const done = new Map();
  for (const { kind, how, task } of events) {
    if (kind === 'end' && how === 'done') {
      const job = jobOf(task);
      done.set(job, (done.get(job) ?? new Set()).add(task));
    }
  }
  return done;
}

/**
 * Returns a line for each job (`jobs`: its id and number of tasks) that has tasks left at `to` and that had, for
 * `maxIdleMs` on end between `from` and `to`, nothing running while there was capacity for one of its tasks twice
 * over and under half of the capacity was in use.
 */
export function idleSpans({
  events,
  jobs,
  from,
  to,
  maxIdleMs,
  neededCpu,
  totalCpu,
}) {
  const changes = changesOf(events).filter(({ at }) => at <= to);
  const done = doneTasks(events);
  const lines = [];
  for (const [job, tasks] of jobs) {
    if ((done.get(job)?.size ?? 0) >= tasks) {
      continue;
    }
    const span = longestIdle(
      changes,
      ({ cpu, running }) =>
        !running.has(job) &&
        cpu < totalCpu / 2 &&
        totalCpu - cpu >= 2 * neededCpu,
      from,
      to,
    );
    if (span.ms > maxIdleMs) {
      lines.push(
        `LOST: job ${job} has nothing running for ${span.ms} ms from ${span.at} ms on; at most ${span.cpu} of ${totalCpu} thousandths of a core are in use`,
      );
    }
  }
  return lines;
}

/** Returns the longest span between `from` and `to` in which `isIdle` holds. */
function longestIdle(changes, isIdle, from, to) {
  let longest = { ms: 0, at: from, cpu: 0 };
  let start;
  let cpu = 0;
  changes.forEach((change, n) => {
    const begin = Math.max(from, change.at);
    const end = Math.min(to, changes[n + 1]?.at ?? to);
    if (end <= begin) {
      return;
    }
    if (!isIdle(change)) {
      start = undefined;
      return;
    }
    if (start === undefined) {
      start = begin;
      cpu = 0;
    }
    cpu = Math.max(cpu, change.cpu);
    if (end - start > longest.ms) {
      longest = { ms: end - start, at: start, cpu };
    }
  });
  return longest;
}
