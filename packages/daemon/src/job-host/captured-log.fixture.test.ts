/** A log whose lines a test reads. */
import { pino, type Logger } from 'pino';

/** The fields of a line. */
export type LogLine = Readonly<Record<string, unknown>>;

/** Returns a log, and the lines that are written to it, in their order. */
export function captureLog(): {
  readonly log: Logger;
  readonly lines: readonly LogLine[];
} {
  const lines: LogLine[] = [];
  const write = (line: string): void => {
    lines.push(JSON.parse(line) as LogLine);
  };
  return { log: pino({}, { write }), lines };
}
