/** What the record of an idempotency key costs: grouped against one append each. */
import {
  createCommitter,
  followRetained,
  startIdempotencyKeys,
  type Committer,
  type IdempotencyKeys,
  type PartContext,
} from '@paddlewind/daemon';
import { encodeBatch, seededRandom } from '@paddlewind/domain';
import { createMemoryLog, type MemoryLog } from '@paddlewind/stand-ins';
import { build, type Histogram } from 'hdr-histogram-js';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import { Result } from 'true-myth';

import { report, roundTo } from '../report.js';

/** Places of the figures that are printed. */
const DECIMALS = 3;

/** An append and a read of the log take this long. */
const LOG_MS = 20;
/** Appends a second that the log takes, and that one process may ask of it. */
const APPENDS_PER_SECOND = 300;
const RATES = [20, 100, 300, 1_000];
const RUN_MS = 2_500;
const TIMEOUT_MS = 5_000;

const WAYS = ['grouped', 'one_each'] as const;
type Way = (typeof WAYS)[number];

interface Tally {
  readonly histogram: Histogram;
  claimed: number;
  refused: number;
}

/** Runs the benchmark: both ways at each rate of requests, one after the other. */
export async function run(): Promise<void> {
  for (const perSecond of RATES) {
    for (const way of WAYS) {
      await measure(way, perSecond);
    }
  }
}

async function measure(way: Way, perSecond: number): Promise<void> {
  const ctx: PartContext = {
    clock: () => performance.now(),
    random: seededRandom(1),
    log: pino({ level: 'silent' }),
    metrics: new Registry(),
  };
  const log = createMemoryLog({ clock: ctx.clock });
  log.setDelay({ appendMs: LOG_MS, readMs: 0 });
  log.limitAppends(APPENDS_PER_SECOND);
  const grouped = createCommitter({
    log,
    ctx,
    appendsPerSecond: APPENDS_PER_SECOND,
  });
  const gate = startIdempotencyKeys({
    ctx,
    committer: way === 'grouped' ? grouped : oneAppendEach(log),
    follow: (stream, onBatch) => followRetained({ log, stream, ctx, onBatch }),
    region: 'nw',
    hostId: 'entry-1',
    incarnation: 'i',
    windowMs: 600_000,
  });
  const tally = await claimAtRate(gate, ctx, perSecond);
  gate.close();
  grouped.stop();
  reportTally(way, perSecond, tally, log);
}

/** A committer without groups: what is refused for the rate of appends is not tried again. */
function oneAppendEach(log: MemoryLog): Committer {
  return {
    async commit(stream, record) {
      const appended = await log.append(stream, encodeBatch([record]));
      return appended.isOk
        ? Result.ok({ offset: appended.value, index: 0 })
        : Result.err(appended.error);
    },
  };
}

/** Open loop: claims a new key every 1/rate seconds, whatever becomes of the earlier ones. */
async function claimAtRate(
  gate: IdempotencyKeys,
  ctx: PartContext,
  perSecond: number,
): Promise<Tally> {
  const tally: Tally = {
    histogram: build({ highestTrackableValue: 60_000_000 }),
    claimed: 0,
    refused: 0,
  };
  const startedAt = ctx.clock();
  const claims: Promise<void>[] = [];
  for (let sent = 0; ctx.clock() - startedAt < RUN_MS;) {
    const due = ((ctx.clock() - startedAt) / 1_000) * perSecond;
    while (sent < due) {
      claims.push(claimOne(gate, ctx, `key-${sent++}`, tally));
    }
    await new Promise(resolve => setTimeout(resolve, 1));
  }
  await Promise.all(claims);
  return tally;
}

async function claimOne(
  gate: IdempotencyKeys,
  ctx: PartContext,
  key: string,
  tally: Tally,
): Promise<void> {
  const startedAt = ctx.clock();
  const claimed = await gate.claim({
    service: 'payments',
    key,
    requestHash: key,
    deadline: startedAt + TIMEOUT_MS,
  });
  if (claimed.isErr) {
    tally.refused++;
    return;
  }
  tally.claimed++;
  tally.histogram.recordValue((ctx.clock() - startedAt) * 1_000);
  claimed.value.answered(200);
}

function reportTally(
  way: Way,
  perSecond: number,
  tally: Tally,
  log: MemoryLog,
): void {
  const { histogram, claimed, refused } = tally;
  report({
    bench: 'idempotency',
    way,
    requestsPerSecond: perSecond,
    claimedShare: roundTo(claimed / Math.max(1, claimed + refused), DECIMALS),
    p50Ms: roundTo(histogram.getValueAtPercentile(50) / 1_000, DECIMALS),
    p99Ms: roundTo(histogram.getValueAtPercentile(99) / 1_000, DECIMALS),
    appendsPerSecond: roundTo(
      log.totals().appends / (RUN_MS / 1_000),
      DECIMALS,
    ),
    logMs: LOG_MS,
  });
}
