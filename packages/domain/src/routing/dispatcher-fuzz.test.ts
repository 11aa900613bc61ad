import assert from 'node:assert/strict';
import test from 'node:test';

import fc from 'fast-check';

import { seededRandom } from '../core/random.js';
import { serviceSchema } from '../declarations/schemas.js';
import { createDispatcher } from './create-dispatcher.js';
import type {
  BackendInfo,
  Dispatch,
  Dispatcher,
  RequestInfo,
  TryResult,
} from './dispatcher.js';

const SERVERS = 5;
const MAX_QUEUE = 4;
const CONNECTIONS = 10;
const BURST = 3;
const SHARE = 0.25;

const service = serviceSchema.parse({
  kind: 'service',
  name: 'memberlink',
  team: 'members',
  workers: {},
  size: { cpu: 1, memoryMiB: 1 },
  slots: 3,
  connections: CONNECTIONS,
  route: { maxQueue: MAX_QUEUE, retryBudget: SHARE, hedgeBudget: SHARE },
  objective: { target: 0.999, latencyMs: 100 },
});

const RESULTS: readonly TryResult[] = [
  { kind: 'answered', status: 200 },
  { kind: 'answered', status: 503 },
  { kind: 'not_sent' },
  { kind: 'broken' },
  { kind: 'timeout' },
  { kind: 'canceled' },
];

/** What the oracle knows of one request. */
interface Known {
  readonly req: RequestInfo;
  state: 'offered' | 'queued' | 'running' | 'failed' | 'final';
  readonly running: Set<string>;
  reached: boolean;
  answered: boolean;
  lastResult: TryResult;
}

interface Oracle {
  readonly dispatcher: Dispatcher;
  readonly known: Map<number, Known>;
  listed: ReadonlyMap<string, BackendInfo>;
  now: number;
  offers: number;
  retries: number;
  hedges: number;
}

const commandArb = fc.record({
  kind: fc.constantFrom(
    'offer',
    'offer',
    'offer',
    'finish',
    'finish',
    'retry',
    'hedge',
    'withdraw',
    'tick',
    'backends',
    'peers',
    'steer',
  ),
  pick: fc.nat(1_000),
  result: fc.nat(RESULTS.length - 1),
  waitMs: fc.nat(40),
});

type Command = typeof commandArb extends fc.Arbitrary<infer T> ? T : never;

function createOracle(seed: number): Oracle {
  const dispatcher = createDispatcher({
    service,
    self: 'e1',
    availabilityZone: 'a',
    entryHosts: 2,
    random: seededRandom(seed),
    tunables: { budgetBurst: BURST, settleMs: 50 },
  });
  return {
    dispatcher,
    known: new Map(),
    listed: new Map(),
    now: 0,
    offers: 0,
    retries: 0,
    hedges: 0,
  };
}

function step(oracle: Oracle, command: Command): void {
  oracle.now += command.waitMs;
  const { dispatcher, now } = oracle;
  switch (command.kind) {
    case 'offer':
      offer(oracle, command);
      break;
    case 'finish':
      finish(oracle, command);
      break;
    case 'retry':
      retry(oracle, command);
      break;
    case 'hedge':
      hedge(oracle, command);
      break;
    case 'withdraw':
      withdraw(oracle, command);
      break;
    case 'tick':
      check(oracle, dispatcher.tick(now));
      break;
    case 'backends':
      setBackends(oracle, command.pick);
      break;
    case 'peers': {
      const hosts = ['e1', 'e2', 'e3'].slice(0, 1 + (command.pick % 3));
      const infos = hosts.map(id => ({ id, availabilityZone: 'a' }));
      check(oracle, dispatcher.setPeers(infos.length, now, infos));
      break;
    }
    case 'steer':
      dispatcher.steer(`w${command.pick % SERVERS}`, (command.pick % 7) / 4);
      break;
  }
  checkBounds(oracle);
}

function offer(oracle: Oracle, command: Command): void {
  oracle.offers += 1;
  const req: RequestInfo = {
    id: oracle.offers,
    deadline: oracle.now + 20 + (command.pick % 300),
    idempotent: command.pick % 2 === 0,
  };
  oracle.known.set(req.id, {
    req,
    state: 'offered',
    running: new Set(),
    reached: false,
    answered: false,
    lastResult: { kind: 'not_sent' },
  });
  const verdicts = oracle.dispatcher.offer(req, oracle.now);
  assert.equal(verdicts[0]?.id, req.id);
  check(oracle, verdicts);
}

function pickKnown(
  oracle: Oracle,
  command: Command,
  state: Known['state'],
): Known | undefined {
  const matching = [...oracle.known.values()].filter(
    known => known.state === state,
  );
  return matching[command.pick % Math.max(1, matching.length)];
}

function finish(oracle: Oracle, command: Command): void {
  const known = pickKnown(oracle, command, 'running');
  const [backend] = known?.running ?? [];
  const result = RESULTS[command.result];
  if (known === undefined || backend === undefined || result === undefined) {
    return;
  }
  known.running.delete(backend);
  known.reached ||= result.kind !== 'not_sent';
  known.lastResult = result;
  known.answered ||=
    result.kind === 'canceled' ||
    (result.kind === 'answered' && result.status < 500);
  if (known.running.size === 0) {
    known.state = known.answered ? 'final' : 'failed';
  }
  const { dispatcher, now } = oracle;
  check(oracle, dispatcher.finish(known.req.id, backend, result, now));
}

function retry(oracle: Oracle, command: Command): void {
  const known = pickKnown(oracle, command, 'failed');
  if (known === undefined) {
    return;
  }
  known.state = 'offered';
  const { dispatcher, now } = oracle;
  const verdicts = dispatcher.retry(known.req, known.lastResult, now);
  if (verdicts[0]?.kind !== 'refused') {
    oracle.retries += 1;
    assert.ok(known.req.idempotent || !known.reached, 'unsafe retry');
  }
  check(oracle, verdicts);
}

function hedge(oracle: Oracle, command: Command): void {
  const known = pickKnown(oracle, command, 'running');
  if (known === undefined) {
    return;
  }
  const verdict = oracle.dispatcher.hedge(known.req, oracle.now);
  if (verdict !== undefined) {
    assert.ok(known.req.idempotent, 'hedge of a non-idempotent request');
    assert.equal(known.running.size, 1);
    oracle.hedges += 1;
    check(oracle, [verdict]);
  }
}

function withdraw(oracle: Oracle, command: Command): void {
  const known = pickKnown(oracle, command, 'queued');
  if (known !== undefined) {
    oracle.dispatcher.withdraw(known.req.id, oracle.now);
    known.state = 'final';
  }
}

function setBackends(oracle: Oracle, pick: number): void {
  const infos = Array.from({ length: SERVERS }, (_, index): BackendInfo => {
    const digit = Math.floor(pick / 3 ** index) % 3;
    return {
      address: `10.0.0.${index}:80`,
      worker: `w${index}`,
      availabilityZone: index % 2 === 0 ? 'a' : 'b',
      state: digit === 1 ? 'leaving' : 'live',
    };
  }).filter((_, index) => Math.floor(pick / 3 ** index) % 3 !== 2);
  oracle.listed = new Map(infos.map(info => [info.address, info]));
  check(oracle, oracle.dispatcher.setBackends(infos, oracle.now));
}

function check(oracle: Oracle, verdicts: readonly Dispatch[]): void {
  for (const verdict of verdicts) {
    const known = oracle.known.get(verdict.id);
    assert.ok(known !== undefined, 'verdict on an unknown request');
    assert.notEqual(known.state, 'final', 'second final verdict');
    switch (verdict.kind) {
      case 'send':
        checkSend(oracle, known, verdict.backend);
        break;
      case 'queued':
        assert.equal(known.state, 'offered');
        known.state = 'queued';
        break;
      case 'refused':
        checkRefusal(known, verdict);
        break;
    }
  }
}

function checkSend(oracle: Oracle, known: Known, backend: string): void {
  assert.equal(oracle.listed.get(backend)?.state, 'live');
  assert.ok(known.req.deadline > oracle.now, 'sent after the deadline');
  assert.ok(!known.running.has(backend));
  assert.ok(known.req.idempotent || !known.reached, 'sent twice');
  known.running.add(backend);
  known.state = 'running';
  const limit = oracle.dispatcher.connectionLimit(backend, oracle.now);
  const running = [...oracle.known.values()].filter(other =>
    other.running.has(backend),
  );
  assert.ok(running.length <= limit, 'over the share of the connections');
}

function checkRefusal(
  known: Known,
  verdict: Dispatch & { kind: 'refused' },
): void {
  assert.ok(known.state === 'offered' || known.state === 'queued');
  assert.equal(known.running.size, 0);
  if (verdict.error.outcome === 'not_run') {
    assert.ok(!known.reached, 'claimed as not run after a try');
    assert.ok((verdict.error.retryAfterMs ?? 0) > 0);
  }
  known.state = 'final';
}

function checkBounds(oracle: Oracle): void {
  const states = [...oracle.known.values()].map(known => known.state);
  const queued = states.filter(state => state === 'queued').length;
  assert.ok(queued <= MAX_QUEUE, 'queue over its bound');
  const allowed = BURST + oracle.offers * SHARE;
  assert.ok(oracle.retries <= allowed, 'retries over budget');
  assert.ok(oracle.hedges <= allowed, 'hedges over budget');
}

/** Ends everything and checks that nothing is left without a verdict. */
function settle(oracle: Oracle): void {
  oracle.now += 1_000;
  check(oracle, oracle.dispatcher.tick(oracle.now));
  for (const known of oracle.known.values()) {
    assert.ok(
      known.state !== 'queued' && known.state !== 'offered',
      'left without a verdict',
    );
    for (const backend of known.running) {
      const canceled = { kind: 'canceled' } as const;
      const { dispatcher, now } = oracle;
      check(oracle, dispatcher.finish(known.req.id, backend, canceled, now));
    }
  }
  const running = oracle.dispatcher.loads().map(load => load.inFlight);
  assert.ok(running.every(inFlight => inFlight === 0));
}

test('dispatcher keeps its promises under any order of events', () => {
  fc.assert(
    fc.property(
      fc.nat(),
      fc.array(commandArb, { minLength: 20, maxLength: 150 }),
      (seed, commands) => {
        const oracle = createOracle(seed);
        setBackends(oracle, 0);
        for (const command of commands) {
          step(oracle, command);
        }
        settle(oracle);
      },
    ),
    { seed: 4, numRuns: 400, includeErrorInReport: true },
  );
});
