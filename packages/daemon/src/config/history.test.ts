import assert from 'node:assert/strict';
import test from 'node:test';

import {
  CONFIG_STREAM,
  createConfigLedger,
  createDedupeWindow,
  createSnapshotAssembler,
  decodeBatch,
  type ConfigState,
  type StreamRecord,
} from '@paddlewind/domain';
import fc from 'fast-check';

import { put, startVirtualHosts, team, type Cluster } from './fixture.test.js';

const HOSTS = 4;
/** Short, so that snapshots are written every 3 s. */
const RETENTION_MS = 12_000;
const NAMES = ['a', 'b', 'c'];

/** What befalls the cluster, one step after another. */
const step = fc.oneof(
  fc.record({
    kind: fc.constant('apply' as const),
    host: fc.nat({ max: HOSTS - 1 }),
    name: fc.constantFrom(...NAMES),
    isStale: fc.boolean(),
    isRetried: fc.boolean(),
  }),
  fc.record({
    kind: fc.constantFrom(
      'restart' as const,
      'cut_log' as const,
      'cut_peers' as const,
    ),
    host: fc.nat({ max: HOSTS - 1 }),
  }),
  fc.record({
    kind: fc.constantFrom(
      'outage' as const,
      'lose' as const,
      'late' as const,
      'drop' as const,
      'duplicate' as const,
      'slow' as const,
      'expire' as const,
    ),
  }),
);
type Step = typeof step extends fc.Arbitrary<infer S> ? S : never;

/** An operator's change and the verdict on it. */
interface Answer {
  readonly id: string;
  readonly name: string;
  readonly base: number;
  readonly verdict: 'accepted' | 'conflict';
  readonly offset: number;
}

interface Run {
  readonly cluster: Cluster;
  /** Text of the configuration at each offset, as first served by any host. */
  readonly states: Map<number, string>;
  /** Highest offset that each host has served, over its restarts. */
  readonly floors: number[];
  readonly answers: Answer[];
  readonly violations: string[];
  readonly reference: Reference;
  outage: boolean;
  slow: boolean;
}

/** The configuration as folded from every entry of the log, without any fault. */
interface Reference {
  catchUp(cluster: Cluster): ConfigState;
  /** Offset of the newest whole snapshot. */
  snapshotAt(): number;
}

function createReference(): Reference {
  const ledger = createConfigLedger();
  const window = createDedupeWindow([], 1_024);
  const assembler = createSnapshotAssembler();
  let snapshotAt = 0;

  function take(records: readonly StreamRecord[], next: number): void {
    const fresh = records.filter(({ id }) => window.addIfNew(id));
    ledger.fold(fresh, next);
    for (const record of fresh) {
      const whole = assembler.add(record);
      snapshotAt = Math.max(snapshotAt, whole?.offset ?? 0);
    }
  }

  return {
    snapshotAt: () => snapshotAt,
    catchUp: ({ log }) => {
      for (const { offset, payload } of log.entries(CONFIG_STREAM)) {
        if (offset >= ledger.state().offset) {
          const batch = decodeBatch(payload);
          take(batch.isOk ? batch.value.records : [], offset + 1);
        }
      }
      return ledger.state();
    },
  };
}

function textOf(state: ConfigState): string {
  return JSON.stringify(
    [...state.objects].sort(([a], [b]) => (a < b ? -1 : 1)),
  );
}

function noteServed(run: Run, index: number, state: ConfigState): void {
  const { cluster, states, floors, violations } = run;
  const text = textOf(state);
  const known = states.get(state.offset) ?? text;
  states.set(state.offset, known);
  if (known !== text) {
    violations.push(`h${index} differs at ${state.offset}`);
  }
  const host = cluster.host(index);
  const isLogOut = run.outage || host.cut.log;
  const isFirst = host.served.length === 1;
  const floor = floors[index] ?? 0;
  const least =
    isFirst && isLogOut ? Math.min(floor, cluster.heardBy(index)) : floor;
  if (state.offset < least) {
    violations.push(`h${index} went from ${least} back to ${state.offset}`);
  }
  floors[index] = Math.max(isFirst ? 0 : floor, state.offset);
}

function perform(run: Run, each: Step, index: number): void {
  const { cluster } = run;
  const { log } = cluster;
  switch (each.kind) {
    case 'apply':
      apply(run, each, index);
      break;
    case 'restart':
      cluster.restart(each.host);
      break;
    case 'cut_log':
      cluster.host(each.host).cut.log = !cluster.host(each.host).cut.log;
      break;
    case 'cut_peers':
      cluster.host(each.host).cut.peers = !cluster.host(each.host).cut.peers;
      break;
    case 'outage':
      run.outage = !run.outage;
      log.setOutage(run.outage);
      break;
    case 'lose':
      log.loseAnswers(2);
      break;
    case 'late':
      log.lateEffects(1, 1_500);
      break;
    case 'drop':
      log.dropAppends(2);
      break;
    case 'duplicate':
      log.duplicate(2);
      break;
    case 'slow':
      run.slow = !run.slow;
      log.setDelay({
        appendMs: run.slow ? 800 : 0,
        readMs: run.slow ? 300 : 0,
      });
      break;
    case 'expire':
      log.trim(CONFIG_STREAM, run.reference.snapshotAt());
      break;
  }
}

function apply(
  run: Run,
  each: Extract<Step, { kind: 'apply' }>,
  index: number,
): void {
  const { cluster, answers, reference } = run;
  const held = reference.catchUp(cluster).objects.get(`team/${each.name}`);
  const base = each.isStale ? 0 : (held?.version ?? 0);
  const change = put(team(each.name, index + 1), base);
  const through = each.isRetried
    ? [each.host, (each.host + 1) % HOSTS]
    : [each.host];
  for (const host of through) {
    void cluster.apply(host, `set-${index}`, change, 4_000).then(answer => {
      const asked = { id: `set-${index}`, name: each.name, base };
      if (answer.isOk) {
        answers.push({ ...asked, verdict: 'accepted', offset: answer.value });
      } else if (answer.error.kind === 'conflict') {
        answers.push({ ...asked, verdict: 'conflict', offset: 0 });
      }
    });
  }
}

function heal({ cluster }: Run): void {
  cluster.log.setOutage(false);
  cluster.log.setDelay({ appendMs: 0, readMs: 0 });
  for (const { cut } of cluster.hosts) {
    cut.log = false;
    cut.peers = false;
  }
}

function checkAnswers(answers: readonly Answer[], final: ConfigState): void {
  const verdicts = new Map<string, string>();
  const winners = new Map<string, string>();
  for (const { id, name, base, verdict, offset } of answers) {
    const known = verdicts.get(id) ?? `${verdict} ${offset}`;
    verdicts.set(id, known);
    assert.equal(`${verdict} ${offset}`, known, `two verdicts on ${id}`);
    if (verdict === 'accepted') {
      const winner = winners.get(`${name} ${base}`) ?? id;
      winners.set(`${name} ${base}`, winner);
      assert.equal(id, winner, `two winners on version ${base} of ${name}`);
      const version = final.objects.get(`team/${name}`)?.version ?? 0;
      assert.ok(version >= offset, `an accepted change of ${name} is lost`);
    }
  }
}

async function check(
  steps: readonly Step[],
  pauses: readonly number[],
): Promise<void> {
  const cluster = startVirtualHosts(HOSTS, {
    waitMs: 30_000,
    retentionMs: RETENTION_MS,
  });
  const run: Run = {
    cluster,
    states: new Map(),
    floors: [],
    answers: [],
    violations: [],
    reference: createReference(),
    outage: false,
    slow: false,
  };
  cluster.hosts.forEach((host, index) => {
    host.onServed = state => {
      noteServed(run, index, state);
    };
  });
  for (const [index, each] of steps.entries()) {
    perform(run, each, index);
    await cluster.time.advance(pauses[index % pauses.length] ?? 0);
    run.reference.catchUp(cluster);
  }
  heal(run);
  await cluster.time.advance(60_000);
  const final = run.reference.catchUp(cluster);
  for (const host of cluster.hosts) {
    assert.equal(host.config.problem(), undefined, host.id);
    assert.equal(textOf(host.config.current()), textOf(final), host.id);
  }
  checkAnswers(run.answers, final);
  assert.deepEqual(run.violations, []);
  cluster.stop();
}

test('accepted configuration never reverts at any observer, and verdicts are the same', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 5, maxLength: 25 }),
      fc.array(fc.constantFrom(0, 30, 400, 2_000, 6_000), {
        minLength: 3,
        maxLength: 9,
      }),
      check,
    ),
    { seed: 1_400, numRuns: 20 },
  );
});
