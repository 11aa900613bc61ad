/** The logger: JSON lines by pino; each message starts with the prefix of its part, such as `router: `. */
import { pino, type Logger } from 'pino';

/** Builds the logger of an entry host. */
export function createLogger(level: string, host: string): Logger {
  return pino({
    level,
    base: { host },
    timestamp: pino.stdTimeFunctions.isoTime,
  });
}
