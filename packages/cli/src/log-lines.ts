/** Parses the structured log lines that hosts write. */

/** A parsed line of a host's log. */
export interface LogLine {
  /** Wall-clock time of the host, as written. */
  readonly time: string;
  readonly host: string;
  readonly msg: string;
  /** All fields of the line, including those above. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parsed lines, and the numbers of non-empty lines that could not be parsed. */
export interface ReadLines {
  readonly lines: readonly LogLine[];
  readonly unread: readonly number[];
}

/** Parses all lines and sorts them by time; text before the JSON of a line is ignored. */
export function readLogLines(texts: readonly string[]): ReadLines {
  const lines: LogLine[] = [];
  const unread: number[] = [];
  const all = texts.flatMap(text => text.split('\n'));
  all.forEach((text, at) => {
    const line = parseLogLine(text);
    if (line !== undefined) {
      lines.push(line);
    } else if (text.trim() !== '') {
      unread.push(at + 1);
    }
  });
  lines.sort((a, b) => Date.parse(a.time) - Date.parse(b.time));
  return { lines, unread };
}

/** Parses one line; undefined unless it contains a JSON object with a time and a message. */
export function parseLogLine(text: string): LogLine | undefined {
  const fields = parseObject(text.slice(Math.max(0, text.indexOf('{'))));
  if (fields === undefined) {
    return undefined;
  }
  const time = stringOrEmpty(fields.time);
  const msg = stringOrEmpty(fields.msg);
  if (msg === '' || Number.isNaN(Date.parse(time))) {
    return undefined;
  }
  return { time, host: stringOrEmpty(fields.host), msg, fields };
}

/** Returns `value` if it is a string, otherwise an empty string. */
export function stringOrEmpty(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

/** Returns `value` if it is a number, otherwise undefined. */
export function numberOrUndefined(value: unknown): number | undefined {
  return typeof value === 'number' ? value : undefined;
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const found: unknown = JSON.parse(text);
    return typeof found === 'object' && found !== null
      ? (found as Record<string, unknown>)
      : undefined;
  } catch {
    return undefined;
  }
}
