/** The history of one job, put together from the log lines of several hosts. */

/** A log line that tells of the job. */
export interface TraceLine {
  /** Wall-clock time at the host, as it was written. */
  readonly time: string;
  readonly host: string;
  readonly msg: string;
  /** All other fields of the line. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A job's lines in order, and what they say of its cause. */
export interface JobHistory {
  readonly lines: readonly TraceLine[];
  readonly causes: readonly string[];
}

/** Wait for a first run, in milliseconds, that is told as a cause of lateness. */
const LONG_WAIT_MS = 1_000;

/** Fields that every line has, or that say nothing of the job. */
const COMMON_FIELDS = new Set(['level', 'time', 'host', 'msg', 'job']);

/** Reads the lines of job `id`; what is no JSON, and what stands before it on a line, is passed over. */
export function readHistory(id: string, texts: readonly string[]): JobHistory {
  const lines = texts
    .flatMap(text => text.split('\n'))
    .map(line => parseLine(id, line))
    .filter(line => line !== undefined)
    .sort((a, b) => Date.parse(a.time) - Date.parse(b.time));
  return { lines, causes: causesOf(lines) };
}

function parseLine(id: string, line: string): TraceLine | undefined {
  if (!line.includes(id)) {
    return undefined;
  }
  const found = parseObject(line.slice(line.indexOf('{')));
  if (found === undefined || !isAbout(id, found)) {
    return undefined;
  }
  const fields = Object.entries(found).filter(
    ([name]) => !COMMON_FIELDS.has(name),
  );
  return {
    time: textOf(found.time),
    host: textOf(found.host),
    msg: textOf(found.msg),
    fields: Object.fromEntries(fields),
  };
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}

function isAbout(id: string, { job, task }: Record<string, unknown>): boolean {
  return job === id || (typeof task === 'string' && task.startsWith(`${id}.`));
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

function causesOf(lines: readonly TraceLine[]): string[] {
  if (lines.length === 0) {
    return ['no line tells of this job'];
  }
  return [...answerCauses(lines), ...waitCauses(lines), ...runCauses(lines)];
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
  return { kind: textOf(result.kind), reason: textOf(result.reason) };
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
  return waitMs >= LONG_WAIT_MS
    ? [`waited ${(waitMs / 1000).toFixed(1)} s for room before its first run`]
    : [];
}

function runCauses(lines: readonly TraceLine[]): string[] {
  const ends = new Map<string, number>();
  for (const { msg, fields } of lines) {
    if (msg === 'leader: a run has ended' && fields.how !== 'done') {
      const key = textOf(fields.how);
      ends.set(key, (ends.get(key) ?? 0) + 1);
    }
  }
  return [...ends].map(([how, count]) => `${count} runs ended as ${how}`);
}
