import assert from 'node:assert/strict';
import test from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';

import { JobHistory } from '../jobs/job-history.js';
import { StoreServer } from './store-server.js';
import { WorkerPool } from './worker-pool.js';

const TRIES = 200;
const PAUSE_MS = 25;

interface Bed {
  readonly store: StoreServer;
  readonly pool: WorkerPool;
  /** Ids in the registry. */
  readonly listed: () => Promise<string[]>;
}

async function withPool(run: (bed: Bed) => Promise<void>): Promise<void> {
  const store = new StoreServer();
  await store.start();
  const history = new JobHistory(() => performance.now());
  let drawn = 0;
  const random = (): number => (drawn += 1) / 1_000;
  const pool = new WorkerPool({ store, history, random });
  try {
    await pool.add();
    await pool.add();
    await run({ store, pool, listed: () => idsIn(store) });
  } finally {
    await pool.close();
    await store.stop();
  }
}

async function idsIn({ address }: StoreServer): Promise<string[]> {
  const url = `http://${address}/v1/log-newest?topic=keyed.servers&part=0`;
  const { body } = await request(url);
  const { items } = (await body.json()) as { items: { key: string }[] };
  return items.map(({ key }) => key);
}

async function until(holds: () => Promise<boolean> | boolean): Promise<void> {
  for (let tries = 0; tries < TRIES; tries += 1) {
    if (await holds()) {
      return;
    }
    await sleep(PAUSE_MS);
  }
  assert.fail('the condition did not come to hold');
}

test('a worker that crashed is replaced by one with another id', () =>
  withPool(async ({ pool, listed }) => {
    const [first = '', second = ''] = pool.ids;
    const address = pool.server(first)?.address;
    const options = { backAfterMs: 10, sameAddress: true };
    pool.crash(first, { kind: 'refusing', ...options });
    assert.deepEqual(pool.ids, [second]);
    await until(() => pool.ids.length === 2);
    const [, replacement = ''] = pool.ids;
    assert.notEqual(replacement, first);
    assert.equal(pool.server(replacement)?.address, address);
    await until(async () => !(await listed()).includes(first));
    assert.deepEqual(await listed(), [second, replacement]);
    assert.equal(pool.crashes.get(first)?.cause, 'fault');
  }));

test('entries that expired in an outage are back, but for forgotten ones', () =>
  withPool(async ({ store, pool, listed }) => {
    const [first = '', second = ''] = pool.ids;
    store.mode = 'refusing';
    pool.expire(first);
    pool.forget(second);
    store.mode = 'up';
    assert.deepEqual(await listed(), []);
    pool.relist();
    await until(async () => (await listed()).length > 0);
    assert.deepEqual(await listed(), [first]);
    assert.deepEqual(pool.ids, [first, second]);
  }));

test('a read that waits is refused when the store begins to refuse', () =>
  withPool(async ({ store }) => {
    const url = `http://${store.address}/v1/log-read?topic=journal&from=0&waitMs=30000`;
    const waiting = request(url);
    await until(() => (store.calls.get('/v1/log-read') ?? 0) > 0);
    store.mode = 'refusing';
    const res = await waiting;
    await res.body.dump();
    assert.equal(res.statusCode, 503);
  }));
