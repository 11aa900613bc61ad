/** Loggers: JSON lines by pino, each message with the prefix of its part. */
import { pino, type Logger } from 'pino';

/** Parts of the daemon that log. */
export type PartName =
  | 'daemon'
  | 'router'
  | 'scheduler'
  | 'shards'
  | 'config'
  | 'log'
  | 'membership'
  | 'operator'
  | 'interference'
  | 'objectives';

/** Builds the root logger of an entry host. */
export function createLogger(level: string, host: string): Logger {
  return pino({
    level,
    base: { host },
    timestamp: pino.stdTimeFunctions.isoTime,
  });
}

/** Returns the logger of one part; its messages start with `part: `. */
export function partLogger(root: Logger, part: PartName): Logger {
  return root.child({}, { msgPrefix: `${part}: ` });
}
