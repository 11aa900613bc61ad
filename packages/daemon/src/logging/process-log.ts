/** Process log: rate-limited JSON lines on standard output. */
import type { Clock, Millis } from '@paddlewind/domain';
import { pino, type DestinationStream, type Logger } from 'pino';

import { scheduleInBackground } from '../job-host/loop-delay.js';
import { PartTimes } from '../job-host/part-times.js';
import { createGroupedLines } from './grouped-lines.js';
import { LineBudget } from './line-budget.js';

/** File descriptor of standard output. */
const STDOUT = 1;

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
export function createProcessLog(
  host: string,
  clock: Clock,
  times: PartTimes,
): Logger {
  const lines = createGroupedLines(STDOUT, scheduleInBackground);
  const log = createRateLimitedLog(host, clock, lines, times);
  lines.onDropped(dropped => {
    log.warn({ dropped }, 'log: lines were left out, the reader is behind');
  });
  return log;
}

/** Creates a log on `destination` that limits the lines of each message. */
export function createRateLimitedLog(
  host: string,
  clock: Clock,
  destination: DestinationStream,
  times = new PartTimes(clock),
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
            times.measure('logging', () => {
              method.apply(this, args);
            });
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
