/** Reads the structured lines that hosts write to their logs. */

/** One line of a host's log. */
export interface LogLine {
  /** Wall-clock time at the host, as it was written. */
  readonly time: string;
  readonly host: string;
  readonly msg: string;
  /** All fields of the line. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Lines that were read, and the numbers of those that are no line of a host. */
export interface ReadLines {
  readonly lines: readonly LogLine[];
  readonly unread: readonly number[];
}

/** Reads lines in order of time; what stands before the JSON of a line is passed over. */
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

/** Parses one line; undefined where it holds no JSON object with a time and a message. */
export function parseLogLine(text: string): LogLine | undefined {
  const fields = parseObject(text.slice(Math.max(0, text.indexOf('{'))));
  if (fields === undefined) {
    return undefined;
  }
  const time = textOf(fields.time);
  const msg = textOf(fields.msg);
  if (msg === '' || Number.isNaN(Date.parse(time))) {
    return undefined;
  }
  return { time, host: textOf(fields.host), msg, fields };
}

/** Returns a value that is text, else the empty text. */
export function textOf(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

/** Returns a value that is a number, else undefined. */
export function numberOf(value: unknown): number | undefined {
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
