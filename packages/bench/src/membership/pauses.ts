/** False suspicions while event loops pause, with and without the clock that leaves out own pauses. */
import { type Millis, seededRandom } from '@paddlewind/domain';
import { createFakeNetwork, type FakeNetwork } from '@paddlewind/stand-ins';

import { report } from '../report.js';

const HOSTS = 9;
const SETTLE_MS = 6_000;
const RUN_MS = 300_000;
const LOOK_EVERY_MS = 20;
const MEAN_BETWEEN_PAUSES_MS = 20_000;
const MIN_PAUSE_MS = 200;
const MAX_PAUSE_MS = 6_000;
/** A peer that paused so lately may rightly be suspected. */
const AFTERMATH_MS = 5_000;

interface Tally {
  pauses: number;
  falseSuspicions: number;
  falseGone: number;
  pausedGone: number;
}

function tallyLook(
  net: FakeNetwork,
  observer: string,
  disturbed: ReadonlyMap<string, number>,
  before: Map<string, string>,
  tally: Tally,
): void {
  const states = new Map(
    net
      .membership(observer)
      .members()
      .map(m => [m.id, m.state]),
  );
  for (let index = 0; index < HOSTS; index++) {
    const id = `h${index}`;
    const key = `${observer} ${id}`;
    const state = id === observer ? 'ready' : (states.get(id) ?? 'gone');
    const isNew = state !== (before.get(key) ?? 'ready');
    before.set(key, state);
    if (!isNew || state === 'ready') {
      continue;
    }
    const excused = (disturbed.get(id) ?? -Infinity) > net.now();
    if (excused) {
      tally.pausedGone += state === 'gone' ? 1 : 0;
    } else {
      tally.falseSuspicions += state === 'suspected' ? 1 : 0;
      tally.falseGone += state === 'gone' ? 1 : 0;
    }
  }
}

function runPauses(seed: number, pauseMs: Millis): Tally {
  const random = seededRandom(seed);
  const net = createFakeNetwork({ hosts: HOSTS, seed, settings: { pauseMs } });
  net.run(SETTLE_MS);
  const tally: Tally = {
    pauses: 0,
    falseSuspicions: 0,
    falseGone: 0,
    pausedGone: 0,
  };
  const disturbed = new Map<string, number>();
  const before = new Map<string, string>();
  for (const end = net.now() + RUN_MS; net.now() < end;) {
    for (let index = 0; index < HOSTS; index++) {
      const id = `h${index}`;
      if (random() < LOOK_EVERY_MS / MEAN_BETWEEN_PAUSES_MS) {
        const span = MAX_PAUSE_MS - MIN_PAUSE_MS;
        const forMs = Math.round(MIN_PAUSE_MS + random() * span);
        net.pause(id, forMs);
        disturbed.set(id, net.now() + forMs + AFTERMATH_MS);
        tally.pauses += 1;
      }
    }
    net.run(LOOK_EVERY_MS);
    for (let index = 0; index < HOSTS; index++) {
      tallyLook(net, `h${index}`, disturbed, before, tally);
    }
  }
  return tally;
}

/** Prints one line for each way. */
export function benchPauses(): void {
  const ways = [
    { clock: 'without_own_pauses', pauseMs: 400 },
    { clock: 'plain', pauseMs: Infinity },
  ];
  for (const { clock, pauseMs } of ways) {
    const total = {
      pauses: 0,
      falseSuspicions: 0,
      falseGone: 0,
      pausedGone: 0,
    };
    for (let seed = 1; seed <= 3; seed++) {
      const tally = runPauses(seed, pauseMs);
      total.pauses += tally.pauses;
      total.falseSuspicions += tally.falseSuspicions;
      total.falseGone += tally.falseGone;
      total.pausedGone += tally.pausedGone;
    }
    report({ bench: 'membership.pauses', hosts: HOSTS, clock, ...total });
  }
}
