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
  ERROR_RESPONSES,
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
let applyError: AppError | undefined;
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
        applyError === undefined ? Result.ok(7) : Result.err(applyError),
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

function writeDeclaration(name: string, value: unknown): string {
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
  applyError = undefined;
  notReady = [];
  waitingFor = [];
}

function setInForce(declaration: unknown, version: number): void {
  const object = objectSchema.parse(declaration);
  objects.set(objectKey(object.kind, object.name), { object, version });
}

test('validate reports file, path, value and expectation of every error', async () => {
  const file = writeDeclaration('bad.json', [
    { ...TEAM, weight: -1 },
    { ...TEAM, colour: 'red' },
  ]);
  const { code, err } = await cli('validate', file);
  assert.equal(code, 2);
  assert.match(err, /bad\.json\[0\]\.weight: .*found -1/);
  assert.match(err, /bad\.json\[1\].*colour/);
});

test('validate rejects malformed JSON and duplicate names', async () => {
  assert.equal(
    (await cli('validate', writeDeclaration('broken.json', '{'))).code,
    2,
  );
  const { code, err } = await cli(
    'validate',
    writeDeclaration('twice.json', [TEAM, TEAM]),
  );
  assert.equal(code, 2);
  assert.match(err, /team\/statements: is declared twice/);
});

test('diff exits with 20 if there are differences, otherwise with 0', async () => {
  reset();
  const file = writeDeclaration('team.json', TEAM);
  const different = await cli('diff', file);
  assert.equal(different.code, 20);
  assert.equal(different.out, 'create team/statements');
  setInForce(TEAM, 3);
  assert.equal((await cli('diff', file)).code, 0);
});

test('apply sends the base version of each change', async () => {
  reset();
  setInForce({ ...TEAM, weight: 5 }, 3);
  const { code, out } = await cli(
    'apply',
    writeDeclaration('team.json', TEAM),
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

test('apply deletes undeclared objects only with --prune', async () => {
  reset();
  setInForce({ ...TEAM, name: 'old' }, 2);
  setInForce(TEAM, 3);
  const file = writeDeclaration('team.json', TEAM);
  assert.equal((await cli('apply', file)).out, 'nothing to change');
  await cli('apply', file, '--prune');
  assert.deepEqual(applied[0], [
    { kind: 'team', name: 'old', baseVersion: 2, declaration: null },
  ]);
});

test('a conflict has its own exit code and prints advice', async () => {
  reset();
  applyError = appError('conflict', 'team/statements is at version 5');
  const { code, err } = await cli('apply', writeDeclaration('team.json', TEAM));
  assert.equal(code, 5);
  assert.match(err, /version 5/);
  assert.match(err, /diff/);
});

test('apply --wait lists the entry hosts that lag behind', async () => {
  reset();
  waitingFor = ['entry-3'];
  const { code, err } = await cli(
    'apply',
    writeDeclaration('team.json', TEAM),
    '--wait',
  );
  assert.equal(code, 10);
  assert.match(err, /accepted at offset 7.*entry-3/);
});

test('calls fail over from an unreachable server to the next one', async () => {
  reset();
  const { code, out } = await cli('top', '--server', `127.0.0.1:1,${address}`);
  assert.equal(code, 0);
  assert.match(out, /entry-1/);
});

test('prints why a host is not ready', async () => {
  reset();
  notReady = ['configuration is behind'];
  const { code, err } = await cli('get');
  assert.equal(code, 8);
  assert.match(err, /configuration is behind/);
});

test('jobs are submitted by name', async () => {
  reset();
  const { code, out } = await cli(
    'job',
    'submit',
    writeDeclaration('job.json', JOB),
  );
  assert.equal(code, 0);
  assert.equal(out, 'job november is accepted by shard salem');
  assert.equal((await cli('job', 'cancel', 'x')).code, 4);
});

test('job release sends its request id', async () => {
  reset();
  const { code, out } = await cli('job', 'release', 'november', '--id', 'r1');
  assert.equal(code, 0);
  assert.match(out, /november are lifted/);
  assert.deepEqual(released, [['november', 'r1']]);
});

test('job submit rejects a job without a size', async () => {
  const file = writeDeclaration('job.json', { ...JOB, size: undefined });
  const { code, err } = await cli('job', 'submit', file);
  assert.equal(code, 2);
  assert.match(err, /size/);
});

test('unknown commands and options are rejected', async () => {
  assert.equal((await cli('frobnicate')).code, 2);
  assert.equal((await cli('top', '--colour')).code, 2);
  assert.equal((await cli('constructor')).code, 2);
});

test('a connection reset is reported as unreachable, with a hint on certificates', async t => {
  const resetServer = createTcpServer(socket => socket.destroy());
  t.after(() => resetServer.close());
  await new Promise<void>(resolve =>
    resetServer.listen(0, '127.0.0.1', resolve),
  );
  const { port } = resetServer.address() as AddressInfo;
  const { code, err } = await cli('top', '--server', `127.0.0.1:${port}`);
  assert.equal(code, 8);
  assert.match(err, /cannot be reached.*certificate/);
});

test('certificate options are only valid together and need existing files', async () => {
  const alone = await cli('top', '--cert', 'host.pem');
  assert.equal(alone.code, 2);
  assert.match(alone.err, /go together/);
  const absent = await cli('top', '--cert', 'x', '--key', 'x', '--ca', 'x');
  assert.match(absent.err, /x: no such file/);
});

test('the CLI reference documents every command and exit code', async () => {
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
  const codes = Object.values(ERROR_RESPONSES).map(answer => answer.exitCode);
  for (const code of new Set([EXIT_OK, EXIT_DIFFERENT, ...codes])) {
    assert.match(page, new RegExp(`^\\| ${code} +\\|`, 'm'), `code ${code}`);
  }
});
