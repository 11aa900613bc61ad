/** Logger that writes JSON lines with pino; messages start with a component prefix such as `router: `. */
import { pino, type Logger } from 'pino';

/** Creates the logger of an entry host. */
export function createLogger(level: string, host: string): Logger {
  return pino({
    level,
    base: { host },
    timestamp: pino.stdTimeFunctions.isoTime,
  });
}
