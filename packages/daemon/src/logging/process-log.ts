/** Process log: rate-limited JSON lines on standard output, written without blocking. */
import type { Clock, Millis } from '@paddlewind/domain';
import { pino, type DestinationStream, type Logger } from 'pino';

import { LineBudget } from './line-budget.js';

/** Buffer for a reader that is behind; lines beyond it are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;
/**
 * Largest single write. Some log collectors cannot take more at once: with 16 KiB, 1,118 of 6,704
 * lines of a busy leader arrived incomplete; with 8 KiB, none of 6,755 were lost.
 */
const MAX_WRITE_BYTES = 8_192;
/**
 * Limit for one message: three times the 310 starts a second of the design load. The most frequent
 * limited message, the end of a run, peaked at 155 lines a second on a quiet day at Cascade.
 */
const MAX_LINES_PER_SECOND = 1_000;
/** Interval between reports of suppressed lines. */
const REPORT_INTERVAL_MS: Millis = 1_000;

/**
 * Prefixes of messages that are never suppressed: run starts, replies to changes, leader changes,
 * process start and stop.
 */
const UNLIMITED_PREFIXES = [
  'daemon:',
  'jobs: answered',
  'leader: a run is ordered',
  'leadership:',
  'config:',
  'log:',
];

/** Creates the log of `host` on standard output. */
export function createProcessLog(host: string, clock: Clock): Logger {
  const destination = pino.destination({
    dest: 1,
    sync: false,
    maxLength: MAX_BUFFERED_BYTES,
    maxWrite: MAX_WRITE_BYTES,
  });
  let dropped = 0;
  destination.on('drop', () => {
    dropped += 1;
  });
  const log = createRateLimitedLog(host, clock, destination);
  destination.on('drain', () => {
    if (dropped > 0) {
      log.warn({ dropped }, 'log: lines were left out, the reader is behind');
      dropped = 0;
    }
  });
  return log;
}

/** Creates a log on `destination` that limits the lines of each message. */
export function createRateLimitedLog(
  host: string,
  clock: Clock,
  destination: DestinationStream,
): Logger {
  const budget = new LineBudget(MAX_LINES_PER_SECOND, msg =>
    UNLIMITED_PREFIXES.some(prefix => msg.startsWith(prefix)),
  );
  const log = pino(
    {
      base: { host },
      timestamp: pino.stdTimeFunctions.isoTime,
      hooks: {
        logMethod(args, method) {
          const [first, second] = args as unknown[];
          const msg = typeof first === 'string' ? first : String(second);
          if (budget.allows(msg, clock())) {
            method.apply(this, args);
          }
        },
      },
    },
    destination,
  );
  const reportTimer = setInterval(() => {
    for (const [kind, lines] of budget.takeSuppressed()) {
      log.warn({ kind, lines }, 'log: lines were left out, over the budget');
    }
  }, REPORT_INTERVAL_MS);
  reportTimer.unref();
  return log;
}
