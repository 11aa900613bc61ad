import assert from 'node:assert/strict';
import test from 'node:test';

import { seededRandom } from '../core/random.js';
import { serviceSchema } from '../declarations/schemas.js';
import { createDispatcher } from './create-dispatcher.js';
import type { BackendInfo, Dispatcher, RequestInfo } from './dispatcher.js';
import type { DispatcherOptions } from './options.js';

const SPEC = {
  kind: 'service',
  name: 'memberlink',
  team: 'members',
  workers: {},
  size: { cpu: 1, memoryMiB: 1 },
  slots: 8,
  connections: 12,
  objective: { target: 0.999, latencyMs: 100 },
} as const;

function newDispatcher(
  route: Record<string, unknown> = {},
  options: Partial<DispatcherOptions> = {},
): Dispatcher {
  return createDispatcher({
    service: serviceSchema.parse({ ...SPEC, route }),
    self: 'e1',
    availabilityZone: 'a',
    entryHosts: 9,
    random: seededRandom(1),
    ...options,
  });
}

function backend(n: number, state: BackendInfo['state'] = 'live'): BackendInfo {
  return {
    address: `10.0.0.${n}:80`,
    worker: `w${n}`,
    availabilityZone: 'a',
    state,
  };
}

function request(id: number, extra: Partial<RequestInfo> = {}): RequestInfo {
  return { id, deadline: 1_000, idempotent: true, ...extra };
}

test('without a live server a request is refused as not run', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends([backend(1, 'leaving')], 0);
  const [verdict] = dispatcher.offer(request(1), 0);
  assert.equal(verdict?.kind, 'refused');
  assert.equal(verdict.error.kind, 'no_backend');
  assert.equal(verdict.error.outcome, 'not_run');
});

test('a request beyond the share waits and goes when a try ends', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends([backend(1)], 0);
  assert.equal(dispatcher.offer(request(1), 0)[0]?.kind, 'send');
  assert.deepEqual(dispatcher.offer(request(2), 0), [
    { kind: 'queued', id: 2 },
  ]);
  const released = dispatcher.finish(
    1,
    backend(1).address,
    { kind: 'answered', status: 200 },
    5,
  );
  assert.deepEqual(released, [
    { kind: 'send', id: 2, backend: backend(1).address },
  ]);
});

test('a full queue refuses with a time to come back', () => {
  const dispatcher = newDispatcher({ maxQueue: 1 });
  dispatcher.setBackends([backend(1)], 0);
  dispatcher.offer(request(1), 0);
  dispatcher.offer(request(2), 0);
  const [verdict] = dispatcher.offer(request(3), 0);
  assert.equal(verdict?.kind, 'refused');
  assert.equal(verdict.error.kind, 'overloaded');
  assert.ok((verdict.error.retryAfterMs ?? 0) > 0);
});

test('a queued request is refused at its deadline', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends([backend(1)], 0);
  dispatcher.offer(request(1), 0);
  dispatcher.offer(request(2, { deadline: 100 }), 0);
  const [verdict] = dispatcher.tick(100);
  assert.equal(verdict?.kind, 'refused');
  assert.equal(verdict.error.kind, 'deadline_unmet');
  assert.equal(verdict.error.outcome, 'not_run');
});

test('a non-idempotent request that was sent is not retried', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends([backend(1), backend(2)], 0);
  const req = request(1, { idempotent: false });
  const [sent] = dispatcher.offer(req, 0);
  assert.ok(sent?.kind === 'send');
  dispatcher.finish(1, sent.backend, { kind: 'broken' }, 5);
  const [verdict] = dispatcher.retry(req, { kind: 'broken' }, 5);
  assert.equal(verdict?.kind, 'refused');
  assert.equal(verdict.error.outcome, 'unknown');
});

test('a try that was not sent is retried on another server', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends([backend(1), backend(2)], 0);
  const req = request(1, { idempotent: false });
  const [sent] = dispatcher.offer(req, 0);
  assert.ok(sent?.kind === 'send');
  dispatcher.finish(1, sent.backend, { kind: 'not_sent' }, 5);
  const [again] = dispatcher.retry(req, { kind: 'not_sent' }, 5);
  assert.ok(again?.kind === 'send');
  assert.notEqual(again.backend, sent.backend);
});

const OK = { kind: 'answered', status: 200 } as const;
const FAILED = { kind: 'answered', status: 500 } as const;

/** Offers one request at a time, ends it by `resultOf`, and counts tries by server. */
function serve(
  dispatcher: Dispatcher,
  count: number,
  resultOf: (
    address: string,
    id: number,
  ) => {
    result: typeof OK | typeof FAILED;
    ms: number;
  },
  startAt = 0,
): Map<string, number> {
  const tries = new Map<string, number>();
  let now = startAt;
  for (let id = startAt + 1; id <= startAt + count; id++) {
    const [sent] = dispatcher.offer(request(id, { deadline: now + 1e6 }), now);
    assert.ok(sent?.kind === 'send');
    const { result, ms } = resultOf(sent.backend, id);
    now += ms;
    tries.set(sent.backend, (tries.get(sent.backend) ?? 0) + 1);
    dispatcher.finish(id, sent.backend, result, now);
  }
  return tries;
}

test('a server that fails fast does not attract load', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends(
    [1, 2, 3, 4].map(n => backend(n)),
    0,
  );
  const bad = backend(1).address;
  const tries = serve(dispatcher, 1_000, address =>
    address === bad ? { result: FAILED, ms: 1 } : { result: OK, ms: 10 },
  );
  assert.ok((tries.get(bad) ?? 0) < 20, `${tries.get(bad) ?? 0} tries`);
});

test('no more than a bounded share of the servers is ejected', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends(
    [1, 2, 3, 4, 5, 6, 7].map(n => backend(n)),
    0,
  );
  const tries = serve(dispatcher, 500, () => ({ result: FAILED, ms: 1 }));
  const frequent = [...tries.values()].filter(count => count > 50);
  assert.ok(frequent.length >= 5, 'five of seven servers still take requests');
});

test('a slow server is used less, and again once it is fast', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends(
    [1, 2, 3, 4].map(n => backend(n)),
    0,
  );
  const slow = backend(1).address;
  const usualMs = (id: number): number => 5 + ((id * 7) % 11);
  const during = serve(dispatcher, 400, (address, id) => ({
    result: OK,
    ms: address === slow ? 50 : usualMs(id),
  }));
  const after = serve(
    dispatcher,
    400,
    (_address, id) => ({ result: OK, ms: usualMs(id) }),
    100_000,
  );
  assert.ok((during.get(slow) ?? 0) < 40);
  assert.ok((after.get(slow) ?? 0) > 40);
});

test('a server that interference control avoids is used only when no other can be', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends([backend(1), backend(2)], 0);
  dispatcher.steer('w1', 0);
  const tries = serve(dispatcher, 100, () => ({ result: OK, ms: 10 }));
  assert.equal(tries.get(backend(1).address), undefined);
  dispatcher.setBackends([backend(1)], 1_000);
  const [sent] = dispatcher.offer(request(9_001, { deadline: 1e9 }), 1_000);
  assert.equal(sent?.kind, 'send');
});

test('a server of the own availability zone is preferred while it has room', () => {
  const dispatcher = newDispatcher();
  const far = { ...backend(2), availabilityZone: 'b' };
  dispatcher.setBackends([backend(1), far], 0);
  const first = dispatcher.offer(request(1), 0)[0];
  const second = dispatcher.offer(request(2), 0)[0];
  assert.ok(first?.kind === 'send' && second?.kind === 'send');
  assert.equal(first.backend, backend(1).address);
  assert.equal(second.backend, far.address);
});

test('queued requests are refused as soon as nothing moves any more', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends([backend(1)], 0);
  serve(dispatcher, 100, () => ({ result: OK, ms: 10 }));
  const deadline = 11_000;
  dispatcher.offer(request(201, { deadline }), 1_000);
  const [queued] = dispatcher.offer(request(202, { deadline }), 1_000);
  assert.equal(queued?.kind, 'queued');
  const verdicts = [2_000, 4_000, 6_000].flatMap(now => dispatcher.tick(now));
  assert.equal(verdicts[0]?.kind, 'refused');
  assert.equal(verdicts[0].error.outcome, 'not_run');
});

test('nothing waits while all servers are slow and free', () => {
  const dispatcher = newDispatcher({}, { entryHosts: 1 });
  dispatcher.setPeers(1, 0, [{ id: 'e1', availabilityZone: 'a' }]);
  dispatcher.setBackends([backend(1), backend(2)], 0);
  let now = 0;
  let id = 0;
  function answerAfter(ms: number): void {
    const verdicts = [1, 2].map(() => {
      const req = request(++id, { deadline: now + 1_000 });
      return dispatcher.offer(req, now)[0];
    });
    now += ms;
    for (const verdict of verdicts) {
      assert.equal(verdict?.kind, 'send', `at ${now} ms`);
      const result = { kind: 'answered', status: 200 } as const;
      dispatcher.finish(verdict.id, verdict.backend, result, now);
    }
  }
  for (let round = 0; round < 300; round++) {
    answerAfter(2);
  }
  for (let round = 0; round < 20; round++) {
    answerAfter(20);
  }
});

test('a request does not wait while slots of this host are free at usual servers', () => {
  const random = seededRandom(2);
  const dispatcher = newDispatcher({}, { random });
  const hosts = Array.from({ length: 9 }, (_, i) => `e${i + 1}`);
  const infos = hosts.map(id => ({ id, availabilityZone: 'a' }));
  dispatcher.setPeers(9, 0, infos);
  dispatcher.setBackends(
    Array.from({ length: 45 }, (_, n) => backend(n)),
    0,
  );
  const running = new Map<number, string>();
  let queued = 0;
  for (let id = 1; id <= 4_000; id++) {
    const now = id * 0.6;
    const [ended = 0, sentTo = ''] = [...running].at(random() * 34) ?? [];
    if (running.size === 34) {
      running.delete(ended);
      for (const verdict of dispatcher.finish(ended, sentTo, OK, now)) {
        assert.ok(verdict.kind === 'send');
        running.set(verdict.id, verdict.backend);
      }
    }
    const [verdict] = dispatcher.offer(request(id, { deadline: 1e6 }), now);
    queued += verdict?.kind === 'queued' ? 1 : 0;
    if (verdict?.kind === 'send') {
      running.set(id, verdict.backend);
    }
  }
  assert.ok(queued < 40, `${queued} of 4000 waited`);
});

test('one of two servers that fails fast does not attract load', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends([backend(1), backend(2)], 0);
  const bad = backend(1).address;
  const tries = serve(dispatcher, 1_000, address =>
    address === bad ? { result: FAILED, ms: 1 } : { result: OK, ms: 10 },
  );
  assert.ok((tries.get(bad) ?? 0) < 20, `${tries.get(bad) ?? 0} tries`);
});

test('an ejected server is used again when no other is left', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends([backend(1), backend(2)], 0);
  const bad = backend(1).address;
  serve(dispatcher, 1_000, address =>
    address === bad ? { result: FAILED, ms: 1 } : { result: OK, ms: 10 },
  );
  dispatcher.setBackends([backend(1), backend(2, 'leaving')], 10_000);
  const [sent] = dispatcher.offer(request(9_001, { deadline: 1e9 }), 10_000);
  assert.deepEqual(sent, { kind: 'send', id: 9_001, backend: bad });
});

test('an entry host that may not connect yet refuses at once', () => {
  const dispatcher = newDispatcher({}, { joinedAt: 0 });
  dispatcher.setPeers(40, 0);
  dispatcher.setBackends([backend(1)], 0);
  const [verdict] = dispatcher.offer(request(1), 1);
  assert.equal(verdict?.kind, 'refused');
  assert.equal(verdict.error.outcome, 'not_run');
});

test('the time to come back is bounded however long nothing has moved', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends([backend(1)], 0);
  serve(dispatcher, 100, () => ({ result: OK, ms: 10 }));
  const deadline = 1e6;
  dispatcher.offer(request(201, { deadline }), 1_000);
  const [verdict] = dispatcher.offer(request(202, { deadline }), 60_000);
  assert.equal(verdict?.kind, 'refused');
  assert.equal(verdict.error.retryAfterMs, 30_000);
});

test('requests to a slow service are not refused for the pauses between answers', () => {
  const dispatcher = newDispatcher();
  dispatcher.setBackends([backend(1)], 0);
  serve(dispatcher, 200, () => ({ result: OK, ms: 2_000 }));
  const now = 400_000;
  const deadline = now + 20_000;
  dispatcher.offer(request(901, { deadline }), now);
  assert.equal(
    dispatcher.offer(request(902, { deadline }), now)[0]?.kind,
    'queued',
  );
  assert.deepEqual(dispatcher.tick(now + 3_000), []);
});
