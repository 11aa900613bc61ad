/** Time until every other host notices a stopped, crashed, silent or half-cut one, on a fake network. */
import type { Millis } from '@paddlewind/domain';
import { createFakeNetwork, type FakeNetwork } from '@paddlewind/stand-ins';

import { report } from '../report.js';

type FailureKind =
  'stopped' | 'crashed' | 'silent' | 'calls_in_lost' | 'calls_out_lost';

const FAILURES: readonly FailureKind[] = [
  'stopped',
  'crashed',
  'silent',
  'calls_in_lost',
  'calls_out_lost',
];

const VICTIM = 'h1';
const SETTLE_MS = 6_000;
const LIMIT_MS = 15_000;
const LOOK_EVERY_MS = 10;
const RUNS = 180;
const MIN_SEEDS = 3;

function hostIds(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `h${index}`);
}

function fail(net: FakeNetwork, hosts: number, kind: FailureKind): void {
  const others = hostIds(hosts).filter(id => id !== VICTIM);
  switch (kind) {
    case 'stopped':
      net
        .membership(VICTIM)
        .setSelf({ state: 'leaving', configOffset: 0 }, net.now());
      return;
    case 'crashed':
      net.stop(VICTIM, 'refuses');
      return;
    case 'silent':
      net.stop(VICTIM, 'silent');
      return;
    case 'calls_in_lost':
      others.forEach(id => {
        net.cut(id, VICTIM);
      });
      return;
    case 'calls_out_lost':
      others.forEach(id => {
        net.cut(VICTIM, id);
      });
  }
}

function noticedByAll(net: FakeNetwork, hosts: number): boolean {
  const others = hostIds(hosts).filter(id => id !== VICTIM);
  return others.every(id => {
    const members = net.membership(id).members();
    const seen = members.find(member => member.id === VICTIM);
    return seen?.state !== 'ready';
  });
}

function goneEverywhere(net: FakeNetwork, hosts: number): boolean {
  const others = hostIds(hosts).filter(id => id !== VICTIM);
  return others.every(id =>
    net
      .membership(id)
      .members()
      .every(member => member.id !== VICTIM),
  );
}

/** Like `runUntil`, but looks only every 10 ms. */
function timeUntil(
  net: FakeNetwork,
  condition: () => boolean,
): Millis | undefined {
  const from = net.now();
  while (!condition()) {
    if (net.now() - from >= LIMIT_MS) {
      return undefined;
    }
    net.run(LOOK_EVERY_MS);
  }
  return net.now() - from;
}

function quantile(sorted: readonly number[], share: number): number | null {
  return sorted[Math.ceil(share * sorted.length) - 1] ?? null;
}

function describe(times: readonly (Millis | undefined)[]) {
  const sorted = times.filter(t => t !== undefined).sort((a, b) => a - b);
  return {
    runs: times.length,
    noticed: sorted.length,
    p50Ms: quantile(sorted, 0.5),
    maxMs: quantile(sorted, 1),
  };
}

/** The victim's own knowledge that it is cut off stands for others' notice when only its calls are lost. */
function timeToNotice(
  net: FakeNetwork,
  hosts: number,
  kind: FailureKind,
): Millis | undefined {
  if (kind === 'calls_out_lost') {
    const victim = net.membership(VICTIM);
    return timeUntil(net, () => victim.cutOff(net.now()));
  }
  return timeUntil(net, () => noticedByAll(net, hosts));
}

/** Prints one line per failure. */
export function benchNotice(hosts: number, intervalMs: Millis): void {
  for (const kind of FAILURES) {
    const noticed: (Millis | undefined)[] = [];
    const gone: (Millis | undefined)[] = [];
    const seeds = Math.max(MIN_SEEDS, Math.floor(RUNS / hosts));
    for (let seed = 1; seed <= seeds; seed++) {
      const net = createFakeNetwork({ hosts, seed, settings: { intervalMs } });
      net.run(SETTLE_MS + seed * 37);
      fail(net, hosts, kind);
      const tookMs = timeToNotice(net, hosts, kind);
      noticed.push(tookMs);
      if (kind === 'crashed' || kind === 'silent') {
        const rest = timeUntil(net, () => goneEverywhere(net, hosts));
        gone.push(
          rest === undefined || tookMs === undefined
            ? undefined
            : tookMs + rest,
        );
      }
    }
    const { p50Ms, maxMs } = describe(gone);
    report({
      bench: 'membership.notice',
      hosts,
      intervalMs,
      failure: kind,
      ...describe(noticed),
      goneP50Ms: p50Ms,
      goneMaxMs: maxMs,
    });
  }
}
