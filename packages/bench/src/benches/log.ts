/** Group commit against one append each, and leased commit against reading back. */
import { followStream } from '@paddlewind/daemon';
import { decisionStream, seededRandom } from '@paddlewind/domain';
import type { LogService } from '@paddlewind/ports';
import meow from 'meow';

import { report, roundTo } from '../report.js';
import {
  LOG_SPEEDS,
  contextOf,
  createBed,
  createMillisHistogram,
  type LogSpeed,
} from '../shared-state/bed.js';
import { createWriter, type WritingWay } from '../shared-state/writers.js';

/** Places of the figures that are printed. */
const DECIMALS = 2;

const HELP = `
  Usage: npm run bench -- log [flags]
    --seconds N   virtual seconds of each run (default 20)
    --rate N      records a second over all hosts (default 310)
    --hosts A,B   entry hosts that write (default 1,9)
    --budget N    appends a second that the log takes from us (default 210)
    --share N     appends a second that each host may ask for, grouped_shared (default budget / hosts)
    --seed N      (default 1)
`;

const WAYS: readonly WritingWay[] = [
  'grouped',
  'grouped_shared',
  'single_ordered',
  'single_parallel',
];
const ZONES = ['z1', 'z2', 'z3'];
const RECORD_DEADLINE_MS = 5_000;
const BODY = { task: 'statements-17/431', worker: 'w-0042', attempt: 2 };

interface Cell {
  readonly way: WritingWay;
  readonly speedName: string;
  readonly speed: LogSpeed;
  readonly hosts: number;
}

interface Load {
  readonly seconds: number;
  readonly rate: number;
  readonly budget: number;
  /** 0 for an even share of the budget. */
  readonly share: number;
  readonly seed: number;
}

/** Runs the benchmark. */
export async function run(args: readonly string[]): Promise<void> {
  const { flags } = meow(HELP, {
    importMeta: import.meta,
    argv: [...args],
    flags: {
      seconds: { type: 'number', default: 20 },
      rate: { type: 'number', default: 310 },
      hosts: { type: 'string', default: '1,9' },
      budget: { type: 'number', default: 210 },
      share: { type: 'number', default: 0 },
      seed: { type: 'number', default: 1 },
    },
  });
  for (const [speedName, speed] of Object.entries(LOG_SPEEDS)) {
    for (const hosts of flags.hosts.split(',').map(Number)) {
      for (const way of WAYS) {
        await runCommits({ way, speedName, speed, hosts }, flags);
      }
    }
    await runLeased(speedName, speed, flags.seed);
  }
}

/** Commits records that arrive at random, spread over hosts and availability zones. */
async function runCommits(cell: Cell, load: Load): Promise<void> {
  const { time, log } = createBed(cell.speed);
  log.limitAppends(load.budget);
  const random = seededRandom(load.seed);
  const refusals = { count: 0 };
  const counted = countRefusals(log, refusals);
  const writers = Array.from({ length: cell.hosts }, (_, host) =>
    createWriter(
      cell.way,
      counted,
      contextOf(time, load.seed + host),
      load.share > 0 ? load.share : load.budget / cell.hosts,
    ),
  );
  const latency = createMillisHistogram();
  let asked = 0;
  let committed = 0;
  let failed = 0;

  function arrive(): void {
    const writer = writers[asked % writers.length];
    const zone = ZONES[Math.floor(random() * ZONES.length)] ?? '';
    const at = time.clock();
    const record = { id: `r${asked++}`, kind: 'started', body: BODY };
    void writer
      ?.commit(decisionStream(zone), record, at + RECORD_DEADLINE_MS)
      .then(result => {
        latency.add(time.clock() - at);
        committed += result.isOk ? 1 : 0;
        failed += result.isOk ? 0 : 1;
      });
    if (at < load.seconds * 1_000) {
      time.schedule((-Math.log(1 - random()) * 1_000) / load.rate, arrive);
    }
  }

  arrive();
  await time.advance(load.seconds * 1_000);
  const underLoad = log.totals().appends;
  const refused = refusals.count;
  await time.advance(2 * RECORD_DEADLINE_MS);
  const { appends } = log.totals();
  report({
    bench: 'log',
    case: 'commit',
    log: cell.speedName,
    hosts: cell.hosts,
    way: cell.way,
    recordsPerSecond: load.rate,
    committedShare: committed / asked,
    failedShare: failed / asked,
    appendsPerSecond: roundTo(underLoad / load.seconds, DECIMALS),
    refusedAppendsPerSecond: roundTo(refused / load.seconds, DECIMALS),
    recordsPerAppend: roundTo(committed / Math.max(1, appends), DECIMALS),
    ...latency.quantiles('commit'),
  });
}

function countRefusals(
  log: LogService,
  refusals: { count: number },
): LogService {
  return {
    read: req => log.read(req),
    append: async (stream, payload) => {
      const appended = await log.append(stream, payload);
      refusals.count += appended.isErr ? 1 : 0;
      return appended;
    },
  };
}

const LEASED_RECORDS = 500;
const LEASED_GAP_MS = 100;

/**
 * With a lease an acknowledged append is committed; without, the stream is read up to it first:
 * by the follower that waits there already, or by a read of its own.
 */
async function runLeased(
  speedName: string,
  speed: LogSpeed,
  seed: number,
): Promise<void> {
  const { time, log } = createBed(speed);
  const ctx = contextOf(time, seed);
  const stream = decisionStream('z1');
  const writer = createWriter('grouped', log, ctx, 0);
  const follower = followStream({
    log,
    stream,
    from: 0,
    ctx,
    onBatch: () => undefined,
  });
  const leased = createMillisHistogram();
  const followed = createMillisHistogram();
  const read = createMillisHistogram();

  async function commitOne(id: string): Promise<void> {
    const at = time.clock();
    const deadline = at + RECORD_DEADLINE_MS;
    const record = { id, kind: 'started', body: BODY };
    const result = await writer.commit(stream, record, deadline);
    leased.add(time.clock() - at);
    const from = result.map(position => position.offset).unwrapOr(0);
    const reading = log.read({ stream, from, limit: 1, waitMs: 0 });
    await follower.waitForOffset(from + 1, deadline);
    followed.add(time.clock() - at);
    await reading;
    read.add(time.clock() - at);
  }

  for (let i = 0; i < LEASED_RECORDS; i++) {
    void commitOne(`r${i}`);
    await time.advance(LEASED_GAP_MS);
  }
  await time.advance(RECORD_DEADLINE_MS);
  follower.stop();
  report({
    bench: 'log',
    case: 'leased_against_read_back',
    log: speedName,
    ...leased.quantiles('leased'),
    ...followed.quantiles('followed'),
    ...read.quantiles('read'),
  });
}
