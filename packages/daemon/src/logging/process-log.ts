/** The log of a process: JSON lines on standard output that are bounded and never block. */
import type { Clock, Millis } from '@paddlewind/domain';
import { pino, type DestinationStream, type Logger } from 'pino';

import { LineBudget } from './line-budget.js';

/** Lines kept for a reader that is behind, in bytes; more are left out. */
const MAX_WAITING_BYTES = 1_048_576;
/**
 * Most bytes of one write. Some collectors take no more at once: with 16 KiB 1,118 of 6,704 lines of a
 * busy leader did not arrive whole, with 8 KiB none of 6,755 were lost.
 */
const MAX_WRITE_BYTES = 8_192;
/**
 * Lines of one message in a second. The busiest one that is bounded, the end of a run, came 155 times
 * in a second of a quiet day of Cascade; the size designed for has 310 starts a second, thrice that.
 */
const LINES_PER_SECOND = 1_000;
/** How often it is told what was left out. */
const TELL_EVERY_MS: Millis = 1_000;

/** One line a start, an answer to a change, a change of leaders, a start or stop: never left out. */
const ALWAYS = [
  'daemon:',
  'jobs: answered',
  'leader: a run is ordered',
  'leadership:',
  'config:',
  'log:',
];

/** Builds the log of host `host` on standard output. */
export function createProcessLog(host: string, clock: Clock): Logger {
  const destination = pino.destination({
    dest: 1,
    sync: false,
    maxLength: MAX_WAITING_BYTES,
    maxWrite: MAX_WRITE_BYTES,
  });
  let dropped = 0;
  destination.on('drop', () => {
    dropped += 1;
  });
  const log = createBoundedLog(host, clock, destination);
  destination.on('drain', () => {
    if (dropped > 0) {
      log.warn({ dropped }, 'log: lines were left out, the reader is behind');
      dropped = 0;
    }
  });
  return log;
}

/** Builds a log with a budget of lines on `destination`. */
export function createBoundedLog(
  host: string,
  clock: Clock,
  destination: DestinationStream,
): Logger {
  const budget = new LineBudget(LINES_PER_SECOND, msg =>
    ALWAYS.some(prefix => msg.startsWith(prefix)),
  );
  const log = pino(
    {
      base: { host },
      timestamp: pino.stdTimeFunctions.isoTime,
      hooks: {
        logMethod(args, method) {
          const [first, second] = args as unknown[];
          const msg = typeof first === 'string' ? first : String(second);
          if (budget.admits(msg, clock())) {
            method.apply(this, args);
          }
        },
      },
    },
    destination,
  );
  const tell = setInterval(() => {
    for (const [kind, lines] of budget.takeLeftOut()) {
      log.warn({ kind, lines }, 'log: lines were left out, over the budget');
    }
  }, TELL_EVERY_MS);
  tell.unref();
  return log;
}
