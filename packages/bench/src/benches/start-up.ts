/** Start of a host from a snapshot and the tail behind it: time, processor time and heap. */
import {
  encodeSnapshot,
  followFold,
  type FoldFollower,
} from '@paddlewind/daemon';
import {
  CONFIG_STREAM,
  changeSetRecord,
  createConfigLedger,
  encodeBatch,
  snapshotRecords,
  type ConfigLedger,
} from '@paddlewind/domain';
import { createMemoryLog, type MemoryLog } from '@paddlewind/stand-ins';
import meow from 'meow';

import { heapBytes } from '../heap.js';
import { report, roundTo } from '../report.js';
import { contextOf } from '../shared-state/bed.js';
import {
  changeTo,
  sampleConfig,
  sampleTeam,
} from '../shared-state/sample-config.js';

/** Places of the figures that are printed. */
const DECIMALS = 1;

const HELP = `
  Usage: npm run bench -- start-up [flags]
    --scales A,B  multiples of the design's size (default 1,3,10)
    --tail N      change sets behind the snapshot (default 512)
    --repeats N   starts of each (default 5)
`;

const CHANGES_PER_SET = 200;
const MIB = 1024 * 1024;

/** Runs the benchmark. */
export async function run(args: readonly string[]): Promise<void> {
  const { flags } = meow(HELP, {
    importMeta: import.meta,
    argv: [...args],
    flags: {
      scales: { type: 'string', default: '1,3,10' },
      tail: { type: 'number', default: 512 },
      repeats: { type: 'number', default: 5 },
    },
  });
  for (const scale of flags.scales.split(',').map(Number)) {
    const written = await writeStream(scale, flags.tail);
    await measure(written, scale, flags.repeats);
  }
}

interface Written {
  readonly log: MemoryLog;
  readonly objects: number;
  readonly snapshotChars: number;
  readonly chunks: number;
  readonly accepted: number;
  readonly tail: number;
}

/** Writes the objects, a snapshot, and a tail of changes of one team each. */
async function writeStream(scale: number, tail: number): Promise<Written> {
  const log = createMemoryLog({ clock: () => 0 });
  const ledger = createConfigLedger();
  await declareAll(log, ledger, scale);
  const objects = ledger.state().objects.size;
  const { offset } = ledger.state();
  const state = ledger.capture();
  const snapshot = await encodeSnapshot({ offset, ids: [], state });
  const records = snapshotRecords(snapshot);
  for (const record of records) {
    await write(log, ledger, [record]);
  }
  let accepted = 0;
  for (let i = 0; i < tail; i++) {
    const team = sampleTeam(i % 79, 2 + i);
    const base = ledger.state().objects.get(`team/${team.name}`)?.version ?? 0;
    const id = `tail-${i}`;
    const set = changeSetRecord({ id, changes: [changeTo(team, base)] });
    await write(log, ledger, [set]);
    accepted += ledger.verdictOf(id)?.kind === 'accepted' ? 1 : 0;
  }
  log.trim(CONFIG_STREAM, offset);
  const snapshotChars = snapshot.text.length;
  const chunks = records.length;
  return { log, objects, snapshotChars, chunks, accepted, tail };
}

async function declareAll(
  log: MemoryLog,
  ledger: ConfigLedger,
  scale: number,
): Promise<void> {
  const all = sampleConfig(scale);
  for (let at = 0; at < all.length; at += CHANGES_PER_SET) {
    const part = all.slice(at, at + CHANGES_PER_SET);
    const changes = part.map(object => changeTo(object, 0));
    await write(log, ledger, [changeSetRecord({ id: `all-${at}`, changes })]);
  }
}

async function write(
  log: MemoryLog,
  ledger: ConfigLedger,
  records: Parameters<typeof encodeBatch>[0],
): Promise<void> {
  const appended = await log.append(CONFIG_STREAM, encodeBatch(records));
  ledger.fold(records, appended.unwrapOr(0) + 1);
}

async function measure(
  written: Written,
  scale: number,
  repeats: number,
): Promise<void> {
  const times: number[] = [];
  const heaps: number[] = [];
  let cpuMs = 0;
  for (let i = 0; i < repeats; i++) {
    const heapBefore = heapBytes();
    const cpuBefore = process.cpuUsage();
    const begunAt = performance.now();
    const { follower, ledger } = await start(written.log);
    times.push(performance.now() - begunAt);
    const cpu = process.cpuUsage(cpuBefore);
    cpuMs += (cpu.user + cpu.system) / 1_000;
    heaps.push((heapBytes() - heapBefore) / MIB);
    follower.stop();
    times.sort((a, b) => a - b);
    if (ledger.state().objects.size !== written.objects) {
      throw new Error('the state was not recovered');
    }
  }
  report({
    bench: 'start-up',
    scale,
    objects: written.objects,
    snapshotChars: written.snapshotChars,
    chunks: written.chunks,
    tail: written.tail,
    tailAccepted: written.accepted,
    startMedianMs: roundTo(times[Math.floor(times.length / 2)] ?? 0, DECIMALS),
    startMaxMs: roundTo(times.at(-1) ?? 0, DECIMALS),
    cpuMeanMs: roundTo(cpuMs / repeats, DECIMALS),
    heapMiB: roundTo(Math.max(...heaps), DECIMALS),
    repeats,
  });
}

async function start(
  log: MemoryLog,
): Promise<{ follower: FoldFollower; ledger: ConfigLedger }> {
  const ledger = createConfigLedger();
  const ctx = contextOf({ clock: () => performance.now() }, 1);
  let done: () => void = () => undefined;
  const caughtUp = new Promise<void>(resolve => {
    done = resolve;
  });
  const follower = followFold({
    log,
    stream: CONFIG_STREAM,
    ctx,
    state: {
      apply: (records, next) => ledger.fold(records, next),
      capture: () => ledger.capture(),
      restore: (text, offset) => ledger.restore(text, offset),
    },
    windowSize: 1_024,
    onProgress: () => {
      if (follower.caughtUp()) {
        done();
      }
    },
  });
  await caughtUp;
  return { follower, ledger };
}
