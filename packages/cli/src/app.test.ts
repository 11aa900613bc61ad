import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { createServer as createTcpServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { after, before } from 'node:test';

import { connectNodeAdapter } from '@connectrpc/connect-node';
import {
  registerOperatorService,
  type OperatorChange,
  type OperatorDeps,
} from '@paddlewind/daemon';
import {
  ERROR_ANSWERS,
  appError,
  objectKey,
  objectSchema,
  type AppError,
  type ObjectKey,
  type VersionedObject,
} from '@paddlewind/domain';
import { Result } from 'true-myth';

import { runCli } from './app.js';
import { EXIT_DIFFERENT, EXIT_OK } from './output.js';

const TEAM = {
  kind: 'team',
  name: 'statements',
  quota: { cpu: 4, memoryMiB: 64 },
};
const JOB = {
  kind: 'job',
  name: 'november',
  team: 'statements',
  tasks: 1,
  size: { cpu: 1, memoryMiB: 1 },
  command: ['statement-batch'],
};

const objects = new Map<ObjectKey, VersionedObject>();
const applied: OperatorChange[][] = [];
const released: string[][] = [];
let verdict: AppError | undefined;
let notReady: string[] = [];
let waitingFor: string[] = [];
let folder = '';

const deps: OperatorDeps = {
  clock: () => performance.now(),
  config: {
    current: () => ({ offset: 7, objects }),
    apply: (_, changes) => {
      applied.push([...changes]);
      return Promise.resolve(
        verdict === undefined ? Result.ok(7) : Result.err(verdict),
      );
    },
    waitInForce: () => Promise.resolve(waitingFor),
  },
  jobs: {
    submit: () => Promise.resolve(Result.ok('salem')),
    cancel: () =>
      Promise.resolve(
        Result.err(appError('not_found', 'job x does not exist')),
      ),
    release: (id, request) => {
      released.push([id, request]);
      return Promise.resolve(Result.ok(undefined));
    },
    status: id =>
      Promise.resolve(
        Result.ok({ id, state: 'running', reason: '', tasks: [] }),
      ),
  },
  fleet: {
    hosts: () => [],
    shards: () => [],
    members: () => [{ id: 'entry-1', state: 'ready', configOffset: 7n }],
    burn: () => ({ windows: [], evictions: 0n, batchCompleted: 0n }),
  },
  notReady: () => notReady,
};

const server = createServer(
  connectNodeAdapter({
    routes: router => {
      registerOperatorService(router, deps);
    },
  }),
);
let address = '';

before(async () => {
  folder = mkdtempSync(join(tmpdir(), 'paddlewind-'));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

after(() => {
  rmSync(folder, { recursive: true });
  server.closeAllConnections();
  server.close();
});

function declare(name: string, value: unknown): string {
  const file = join(folder, name);
  writeFileSync(
    file,
    typeof value === 'string' ? value : JSON.stringify(value),
  );
  return file;
}

async function cli(...argv: string[]) {
  let out = '';
  let err = '';
  const code = await runCli(
    argv,
    { PADDLEWIND_SERVER: address },
    { out: text => (out += text), err: text => (err += text) },
  );
  return { code, out, err };
}

function reset(): void {
  objects.clear();
  applied.length = 0;
  verdict = undefined;
  notReady = [];
  waitingFor = [];
}

function putInForce(declaration: unknown, version: number): void {
  const object = objectSchema.parse(declaration);
  objects.set(objectKey(object.kind, object.name), { object, version });
}

test('validate tells file, path, value and expectation of every fault', async () => {
  const file = declare('bad.json', [
    { ...TEAM, weight: -1 },
    { ...TEAM, colour: 'red' },
  ]);
  const { code, err } = await cli('validate', file);
  assert.equal(code, 2);
  assert.match(err, /bad\.json\[0\]\.weight: .*found -1/);
  assert.match(err, /bad\.json\[1\].*colour/);
});

test('validate refuses broken JSON and doubled names', async () => {
  assert.equal((await cli('validate', declare('broken.json', '{'))).code, 2);
  const { code, err } = await cli(
    'validate',
    declare('twice.json', [TEAM, TEAM]),
  );
  assert.equal(code, 2);
  assert.match(err, /team\/statements: is declared twice/);
});

test('diff exits 20 on differences and 0 without', async () => {
  reset();
  const file = declare('team.json', TEAM);
  const different = await cli('diff', file);
  assert.equal(different.code, 20);
  assert.equal(different.out, 'create team/statements');
  putInForce(TEAM, 3);
  assert.equal((await cli('diff', file)).code, 0);
});

test('apply sends the version that it is based on', async () => {
  reset();
  putInForce({ ...TEAM, weight: 5 }, 3);
  const { code, out } = await cli(
    'apply',
    declare('team.json', TEAM),
    '--json',
  );
  assert.equal(code, 0);
  assert.deepEqual(JSON.parse(out), {
    offset: 7,
    inForce: false,
    changes: [
      {
        action: 'update',
        kind: 'team',
        name: 'statements',
        fields: [{ path: 'weight', before: 5, after: 1 }],
      },
    ],
  });
  assert.equal(applied[0]?.[0]?.baseVersion, 3);
});

test('apply deletes what is not declared only with --prune', async () => {
  reset();
  putInForce({ ...TEAM, name: 'old' }, 2);
  putInForce(TEAM, 3);
  const file = declare('team.json', TEAM);
  assert.equal((await cli('apply', file)).out, 'nothing to change');
  await cli('apply', file, '--prune');
  assert.deepEqual(applied[0], [
    { kind: 'team', name: 'old', baseVersion: 2, declaration: null },
  ]);
});

test('a conflict has its own exit code and says what to do', async () => {
  reset();
  verdict = appError('conflict', 'team/statements is at version 5');
  const { code, err } = await cli('apply', declare('team.json', TEAM));
  assert.equal(code, 5);
  assert.match(err, /version 5/);
  assert.match(err, /diff/);
});

test('apply --wait names the entry hosts that lag', async () => {
  reset();
  waitingFor = ['entry-3'];
  const { code, err } = await cli(
    'apply',
    declare('team.json', TEAM),
    '--wait',
  );
  assert.equal(code, 10);
  assert.match(err, /accepted at offset 7.*entry-3/);
});

test('a server that cannot be reached is passed over', async () => {
  reset();
  const { code, out } = await cli('top', '--server', `127.0.0.1:1,${address}`);
  assert.equal(code, 0);
  assert.match(out, /entry-1/);
});

test('a host that is not ready says why', async () => {
  reset();
  notReady = ['configuration is behind'];
  const { code, err } = await cli('get');
  assert.equal(code, 8);
  assert.match(err, /configuration is behind/);
});

test('jobs are submitted by name', async () => {
  reset();
  const { code, out } = await cli('job', 'submit', declare('job.json', JOB));
  assert.equal(code, 0);
  assert.equal(out, 'job november is accepted by shard salem');
  assert.equal((await cli('job', 'cancel', 'x')).code, 4);
});

test('a release carries the id of its request', async () => {
  reset();
  const { code, out } = await cli('job', 'release', 'november', '--id', 'r1');
  assert.equal(code, 0);
  assert.match(out, /november are lifted/);
  assert.deepEqual(released, [['november', 'r1']]);
});

test('a job without a size is invalid', async () => {
  const file = declare('job.json', { ...JOB, size: undefined });
  const { code, err } = await cli('job', 'submit', file);
  assert.equal(code, 2);
  assert.match(err, /size/);
});

test('unknown commands and options are refused', async () => {
  assert.equal((await cli('frobnicate')).code, 2);
  assert.equal((await cli('top', '--colour')).code, 2);
  assert.equal((await cli('constructor')).code, 2);
});

test('a server that breaks off is told as not reached, with a hint on certificates', async t => {
  const rude = createTcpServer(socket => socket.destroy());
  t.after(() => rude.close());
  await new Promise<void>(resolve => rude.listen(0, '127.0.0.1', resolve));
  const { port } = rude.address() as AddressInfo;
  const { code, err } = await cli('top', '--server', `127.0.0.1:${port}`);
  assert.equal(code, 8);
  assert.match(err, /cannot be reached.*certificate/);
});

test('the files of a certificate go together and must be there', async () => {
  const alone = await cli('top', '--cert', 'host.pem');
  assert.equal(alone.code, 2);
  assert.match(alone.err, /go together/);
  const absent = await cli('top', '--cert', 'x', '--key', 'x', '--ca', 'x');
  assert.match(absent.err, /x: no such file/);
});

test('the reference names every command and every exit code', async () => {
  const page = readFileSync(
    new URL('../../../docs/CLI.md', import.meta.url),
    'utf8',
  );
  const help = (await cli('--help')).out;
  const commands = [...help.matchAll(/^ {4}([a-z]+)(?: [A-Z[]|  | [a-z]+)/gm)];
  assert.ok(commands.length >= 8);
  for (const [, command = ''] of commands) {
    assert.match(page, new RegExp(`\\b${command}\\b`), command);
  }
  const codes = Object.values(ERROR_ANSWERS).map(answer => answer.exitCode);
  for (const code of new Set([EXIT_OK, EXIT_DIFFERENT, ...codes])) {
    assert.match(page, new RegExp(`^\\| ${code} +\\|`, 'm'), `code ${code}`);
  }
});
