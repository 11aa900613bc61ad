import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type TestContext } from 'node:test';

import { Code, ConnectError, createClient } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { OperatorService, PeerService } from '@paddlewind/protocol';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import { generate } from 'selfsigned';

import type { PeerTransports } from '../membership/transports.js';
import type { PartContext } from '../parts.js';
import { type CredentialSource, startCredentials } from './credentials.js';
import { listenPeers } from './peer-listener.js';
import { secureTransports } from './secure-transports.js';

interface Authority {
  readonly cert: string;
  readonly key: string;
}

const HOUR_MS = 3_600_000;

async function makeAuthority(): Promise<Authority> {
  const made = await generate([{ name: 'commonName', value: 'authority' }], {
    keyType: 'ec',
    algorithm: 'sha256',
    extensions: [
      { name: 'basicConstraints', cA: true, critical: true },
      { name: 'keyUsage', keyCertSign: true, critical: true },
    ],
  });
  return { cert: made.cert, key: made.private };
}

async function makeCertificate(
  ca: Authority,
  name: string,
  options: { host?: boolean; expired?: boolean } = {},
) {
  const { host = true, expired = false } = options;
  const altName = host
    ? { type: 7 as const, ip: '127.0.0.1' }
    : { type: 2 as const, value: name };
  const age = expired ? 2 * HOUR_MS : 0;
  return generate([{ name: 'commonName', value: name }], {
    keyType: 'ec',
    algorithm: 'sha256',
    ca,
    notBeforeDate: new Date(Date.now() - age - HOUR_MS),
    notAfterDate: new Date(Date.now() - age + HOUR_MS),
    extensions: [{ name: 'subjectAltName', altNames: [altName] }],
  });
}

function context(): PartContext {
  return {
    clock: () => performance.now(),
    random: () => 0.5,
    log: pino({ level: 'silent' }),
    metrics: new Registry(),
  };
}

interface Files {
  readonly source: CredentialSource;
  write(
    made: { cert: string; private: string },
    authorities: readonly Authority[],
  ): Promise<void>;
}

async function credentialFiles(
  t: TestContext,
  made: { cert: string; private: string },
  ...authorities: Authority[]
): Promise<Files> {
  const dir = await mkdtemp(join(tmpdir(), 'tls-'));
  t.after(() => rm(dir, { recursive: true }));
  const files = {
    certFile: join(dir, 'cert.pem'),
    keyFile: join(dir, 'key.pem'),
    caFile: join(dir, 'ca.pem'),
  };
  const write: Files['write'] = async (next, trusted) => {
    await writeFile(files.certFile, next.cert);
    await writeFile(files.keyFile, next.private);
    await writeFile(files.caFile, trusted.map(ca => ca.cert).join('\n'));
  };
  await write(made, authorities);
  const started = await startCredentials(context(), files);
  assert.ok(started.isOk);
  const source = started.value;
  t.after(() => {
    source.stop();
  });
  return { source, write };
}

async function startServer(t: TestContext, credentials: CredentialSource) {
  const handler = connectNodeAdapter({
    routes: router => {
      router.rpc(PeerService.method.probe, () => ({ reached: true }));
      router.rpc(OperatorService.method.top, () => ({}));
    },
  });
  const listening = await listenPeers('127.0.0.1:0', handler, credentials);
  t.after(() => listening.close());
  return listening.address;
}

function open(t: TestContext, credentials: CredentialSource): PeerTransports {
  const transports = secureTransports(credentials);
  t.after(() => {
    transports.close();
  });
  return transports;
}

async function probe(transports: PeerTransports, address: string) {
  const client = createClient(PeerService, transports.to(address));
  const res = await client.probe({}, { timeoutMs: 10_000 });
  return res.reached;
}

async function isRefused(call: Promise<unknown>): Promise<boolean> {
  try {
    await call;
    return false;
  } catch (err) {
    return ConnectError.from(err).code !== Code.DeadlineExceeded;
  }
}

test('peers with certificates of the authority talk', async t => {
  const ca = await makeAuthority();
  const server = await credentialFiles(t, await makeCertificate(ca, 'a'), ca);
  const client = await credentialFiles(t, await makeCertificate(ca, 'b'), ca);
  const address = await startServer(t, server.source);
  assert.ok(await probe(open(t, client.source), address));
});

test('a peer without a valid certificate is refused', async t => {
  const ca = await makeAuthority();
  const other = await makeAuthority();
  const server = await credentialFiles(t, await makeCertificate(ca, 'a'), ca);
  const address = await startServer(t, server.source);

  const foreign = await makeCertificate(other, 'b');
  const expired = await makeCertificate(ca, 'c', { expired: true });
  for (const made of [foreign, expired]) {
    const client = await credentialFiles(t, made, ca);
    assert.ok(await isRefused(probe(open(t, client.source), address)));
  }
  const plain = await fetch(`http://${address}/`).then(
    () => true,
    () => false,
  );
  assert.equal(plain, false);
});

test('a server with a foreign certificate is not trusted', async t => {
  const ca = await makeAuthority();
  const other = await makeAuthority();
  const foreign = await makeCertificate(other, 'a');
  const server = await credentialFiles(t, foreign, ca, other);
  const client = await credentialFiles(t, await makeCertificate(ca, 'b'), ca);
  const address = await startServer(t, server.source);
  assert.ok(await isRefused(probe(open(t, client.source), address)));
});

test("an operator's certificate does not pass for a host's", async t => {
  const ca = await makeAuthority();
  const server = await credentialFiles(t, await makeCertificate(ca, 'a'), ca);
  const made = await makeCertificate(ca, 'operator', { host: false });
  const client = await credentialFiles(t, made, ca);
  const address = await startServer(t, server.source);
  const transports = open(t, client.source);
  assert.ok(await isRefused(probe(transports, address)));
  const operators = createClient(OperatorService, transports.to(address));
  await operators.top({}, { timeoutMs: 10_000 });
});

test('a new authority is taken over without a restart', async t => {
  const old = await makeAuthority();
  const next = await makeAuthority();
  const server = await credentialFiles(t, await makeCertificate(old, 'a'), old);
  const client = await credentialFiles(t, await makeCertificate(old, 'b'), old);
  const address = await startServer(t, server.source);
  const transports = open(t, client.source);
  assert.ok(await probe(transports, address));

  await server.write(await makeCertificate(next, 'a'), [next]);
  assert.ok((await server.source.reload()).isOk);
  assert.ok(await isRefused(probe(transports, address)));

  await client.write(await makeCertificate(next, 'b'), [next]);
  assert.ok((await client.source.reload()).isOk);
  assert.ok(await probe(transports, address));
});

test('files that do not match are refused and the last good ones stay', async t => {
  const ca = await makeAuthority();
  const good = await makeCertificate(ca, 'a');
  const other = await makeCertificate(ca, 'b');
  const files = await credentialFiles(t, good, ca);
  await files.write({ cert: good.cert, private: other.private }, [ca]);
  const reloaded = await files.source.reload();
  assert.equal(reloaded.isErr && reloaded.error.kind, 'invalid');
  assert.equal(files.source.current().key, good.private);
});
