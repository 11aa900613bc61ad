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

async function createAuthority(): Promise<Authority> {
  const certificate = await generate(
    [{ name: 'commonName', value: 'authority' }],
    {
      keyType: 'ec',
      algorithm: 'sha256',
      extensions: [
        { name: 'basicConstraints', cA: true, critical: true },
        { name: 'keyUsage', keyCertSign: true, critical: true },
      ],
    },
  );
  return { cert: certificate.cert, key: certificate.private };
}

async function createCertificate(
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

function createContext(): PartContext {
  return {
    clock: () => performance.now(),
    random: () => 0.5,
    log: pino({ level: 'silent' }),
    metrics: new Registry(),
  };
}

interface CredentialFiles {
  readonly source: CredentialSource;
  write(
    certificate: { cert: string; private: string },
    authorities: readonly Authority[],
  ): Promise<void>;
}

async function startCredentialFiles(
  t: TestContext,
  certificate: { cert: string; private: string },
  ...authorities: Authority[]
): Promise<CredentialFiles> {
  const dir = await mkdtemp(join(tmpdir(), 'tls-'));
  t.after(() => rm(dir, { recursive: true }));
  const files = {
    certFile: join(dir, 'cert.pem'),
    keyFile: join(dir, 'key.pem'),
    caFile: join(dir, 'ca.pem'),
  };
  const write: CredentialFiles['write'] = async (next, trusted) => {
    await writeFile(files.certFile, next.cert);
    await writeFile(files.keyFile, next.private);
    await writeFile(files.caFile, trusted.map(ca => ca.cert).join('\n'));
  };
  await write(certificate, authorities);
  const started = await startCredentials(createContext(), files);
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

function openTransports(
  t: TestContext,
  credentials: CredentialSource,
): PeerTransports {
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

test('a peer with a certificate from the authority is accepted', async t => {
  const ca = await createAuthority();
  const server = await startCredentialFiles(
    t,
    await createCertificate(ca, 'a'),
    ca,
  );
  const client = await startCredentialFiles(
    t,
    await createCertificate(ca, 'b'),
    ca,
  );
  const address = await startServer(t, server.source);
  assert.ok(await probe(openTransports(t, client.source), address));
});

test('a peer without a valid certificate is refused', async t => {
  const ca = await createAuthority();
  const other = await createAuthority();
  const server = await startCredentialFiles(
    t,
    await createCertificate(ca, 'a'),
    ca,
  );
  const address = await startServer(t, server.source);

  const foreign = await createCertificate(other, 'b');
  const expired = await createCertificate(ca, 'c', { expired: true });
  for (const certificate of [foreign, expired]) {
    const client = await startCredentialFiles(t, certificate, ca);
    assert.ok(
      await isRefused(probe(openTransports(t, client.source), address)),
    );
  }
  const plain = await fetch(`http://${address}/`).then(
    () => true,
    () => false,
  );
  assert.equal(plain, false);
});

test('a server with a certificate from another authority is not trusted', async t => {
  const ca = await createAuthority();
  const other = await createAuthority();
  const foreign = await createCertificate(other, 'a');
  const server = await startCredentialFiles(t, foreign, ca, other);
  const client = await startCredentialFiles(
    t,
    await createCertificate(ca, 'b'),
    ca,
  );
  const address = await startServer(t, server.source);
  assert.ok(await isRefused(probe(openTransports(t, client.source), address)));
});

test("an operator's certificate gives no access to the peer service", async t => {
  const ca = await createAuthority();
  const server = await startCredentialFiles(
    t,
    await createCertificate(ca, 'a'),
    ca,
  );
  const certificate = await createCertificate(ca, 'operator', { host: false });
  const client = await startCredentialFiles(t, certificate, ca);
  const address = await startServer(t, server.source);
  const transports = openTransports(t, client.source);
  assert.ok(await isRefused(probe(transports, address)));
  const operators = createClient(OperatorService, transports.to(address));
  await operators.top({}, { timeoutMs: 10_000 });
});

test('a new authority is used without a restart', async t => {
  const old = await createAuthority();
  const next = await createAuthority();
  const server = await startCredentialFiles(
    t,
    await createCertificate(old, 'a'),
    old,
  );
  const client = await startCredentialFiles(
    t,
    await createCertificate(old, 'b'),
    old,
  );
  const address = await startServer(t, server.source);
  const transports = openTransports(t, client.source);
  assert.ok(await probe(transports, address));

  await server.write(await createCertificate(next, 'a'), [next]);
  assert.ok((await server.source.reload()).isOk);
  assert.ok(await isRefused(probe(transports, address)));

  await client.write(await createCertificate(next, 'b'), [next]);
  assert.ok((await client.source.reload()).isOk);
  assert.ok(await probe(transports, address));
});

test('files that do not match are rejected and the previous credentials stay in use', async t => {
  const ca = await createAuthority();
  const good = await createCertificate(ca, 'a');
  const other = await createCertificate(ca, 'b');
  const files = await startCredentialFiles(t, good, ca);
  await files.write({ cert: good.cert, private: other.private }, [ca]);
  const reloaded = await files.source.reload();
  assert.equal(reloaded.isErr && reloaded.error.kind, 'invalid');
  assert.equal(files.source.current().key, good.private);
});
