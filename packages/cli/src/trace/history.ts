/** Builds the history of one job from the logs of several hosts. */

import { readLogLines, stringOrEmpty, type LogLine } from '../log-lines.js';
import { failureCauses } from './failure.js';

/** A log line about the job, without the fields that every line has. */
export type TraceLine = LogLine;

/** A job's log lines in order of time, and the causes of delay or failure found in them. */
export interface JobHistory {
  readonly lines: readonly TraceLine[];
  readonly causes: readonly string[];
}

/** Wait for the first run from which it is reported as a cause of delay. */
const REPORTED_WAIT_MS = 1_000;

/** Message logged when a task is abandoned because too many workers were lost while running it. */
const TASK_ABANDONED_MSG =
  'leader: a task is given up, workers were lost under it';

/** Fields left out of the history: they are on every line or redundant for a single job. */
const COMMON_FIELDS = new Set(['level', 'time', 'host', 'msg', 'job']);

/** Message logged when a worker has restarted under the same id. */
const WORKER_RESTARTED_MSG = 'fleet: a worker has started again';

/** Message logged when a run started only after its worker had restarted. */
const RUN_AFTER_RESTART_MSG = 'leader: a run is at a later start of its worker';

/** Extracts the history of job `id`; ignores lines without JSON, and text before the JSON of a line. */
export function readHistory(id: string, texts: readonly string[]): JobHistory {
  const all = readLogLines(texts).lines;
  const lines = all
    .filter(({ fields }) => isLineOfJob(id, fields))
    .map(omitCommonFields);
  return { lines, causes: causesOf(lines, restartedWorkers(all)) };
}

/** Returns the incarnations of workers that ended with a restart. */
function restartedWorkers(lines: readonly LogLine[]): Set<string> {
  const found = lines.filter(({ msg }) => msg === WORKER_RESTARTED_MSG);
  return new Set(found.map(({ fields }) => stringOrEmpty(fields.worker)));
}

function omitCommonFields({ time, host, msg, fields }: LogLine): TraceLine {
  const own = Object.entries(fields).filter(
    ([name]) => !COMMON_FIELDS.has(name),
  );
  return { time, host, msg, fields: Object.fromEntries(own) };
}

function isLineOfJob(id: string, { job, task }: LogLine['fields']): boolean {
  return job === id || (typeof task === 'string' && task.startsWith(`${id}.`));
}

function causesOf(
  lines: readonly TraceLine[],
  restarted: ReadonlySet<string>,
): string[] {
  if (lines.length === 0) {
    return ['no line tells of this job'];
  }
  return [
    ...answerCauses(lines),
    ...waitCauses(lines),
    ...runCauses(lines),
    ...restartCauses(lines),
    ...lossCauses(lines, restarted),
    ...failureCauses(lines),
  ];
}

function answerCauses(lines: readonly TraceLine[]): string[] {
  const answers = lines.filter(({ fields }) => fields.change === 'submit');
  const kinds = answers.map(({ fields }) => resultOf(fields).kind);
  if (answers.length === 0 || kinds.includes('recorded')) {
    return [];
  }
  return answers.map(({ host, fields }) => {
    const { kind, reason } = resultOf(fields);
    return kind === 'refused'
      ? `refused by ${host} and not run: ${reason}`
      : `outcome not known at ${host}: ${reason}`;
  });
}

function resultOf(fields: Readonly<Record<string, unknown>>): {
  kind: string;
  reason: string;
} {
  const result = (fields.result ?? {}) as Record<string, unknown>;
  return {
    kind: stringOrEmpty(result.kind),
    reason: stringOrEmpty(result.reason),
  };
}

function waitCauses(lines: readonly TraceLine[]): string[] {
  const accepted = lines.find(
    ({ fields }) =>
      fields.change === 'submit' && resultOf(fields).kind === 'recorded',
  );
  const ordered = lines.find(({ msg }) => msg === 'leader: a run is ordered');
  if (accepted === undefined) {
    return [];
  }
  if (ordered === undefined) {
    return ['accepted, and no run was ordered: there was no room for it'];
  }
  const waitMs = Date.parse(ordered.time) - Date.parse(accepted.time);
  return waitMs >= REPORTED_WAIT_MS
    ? [`waited ${(waitMs / 1000).toFixed(1)} s for room before its first run`]
    : [];
}

function runCauses(lines: readonly TraceLine[]): string[] {
  const ends = new Map<string, number>();
  for (const { msg, fields } of lines) {
    if (msg === 'leader: a run has ended' && fields.how !== 'done') {
      const key = stringOrEmpty(fields.how);
      ends.set(key, (ends.get(key) ?? 0) + 1);
    }
  }
  return [...ends].map(([how, count]) => `${count} runs ended as ${how}`);
}

function restartCauses(lines: readonly TraceLine[]): string[] {
  const moved = lines.filter(({ msg }) => msg === RUN_AFTER_RESTART_MSG).length;
  return moved === 0
    ? []
    : [`${moved} runs began only after their workers had started again`];
}

/** Describes which workers each task lost, and how strongly each loss counts against the task. */
function lossCauses(
  lines: readonly TraceLine[],
  restarted: ReadonlySet<string>,
): string[] {
  const losses = new Map<string, string[]>();
  const abandoned = new Set<string>();
  for (const { msg, fields } of lines) {
    const task = stringOrEmpty(fields.task);
    if (msg === 'leader: a run has ended' && fields.how === 'lost') {
      const worker = stringOrEmpty(fields.worker);
      const suspicion = stringOrEmpty(fields.suspicion);
      const again = restarted.has(worker) ? ', started again' : '';
      const loss = `${worker} (${suspicion}${again})`;
      losses.set(task, [...(losses.get(task) ?? []), loss]);
    }
    if (msg === TASK_ABANDONED_MSG) {
      abandoned.add(task);
    }
  }
  return [...losses].map(([task, workers]) => {
    const verdict = abandoned.has(task) ? 'was given up, lost' : 'lost';
    return `task ${task} ${verdict} its worker ${workers.length} times: ${workers.join(', ')}`;
  });
}
