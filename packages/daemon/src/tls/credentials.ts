/** Certificate, key and certificate authority, reloaded when their files change. */
import { X509Certificate } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { createSecureContext } from 'node:tls';

import { appError, type AppError, type Instant } from '@paddlewind/domain';
import { Counter, Gauge } from 'prom-client';
import { Result } from 'true-myth';

import { createListeners } from '../core/listeners.js';
import type { PartContext, Stop } from '../parts.js';

/** Paths of the PEM files named in the settings. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile: string;
}

/** Certificate, key and certificate authority in PEM. */
export interface Credentials {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
  /** Wall-clock time at which the certificate expires. */
  readonly expiresAt: Instant;
}

/** Provides the credentials in use and notifies of changes. */
export interface CredentialSource {
  current(): Credentials;
  onChange(listener: (credentials: Credentials) => void): Stop;
  /** Reads the files now; if they are unusable, the previous credentials stay in use. */
  reload(): Promise<Result<Credentials, AppError>>;
  stop: Stop;
}

const DEFAULT_POLL_MS = 10_000;

function parseCredentials(cert: string, key: string, ca: string): Credentials {
  createSecureContext({ cert, key, ca });
  const { validTo } = new X509Certificate(cert);
  return { cert, key, ca, expiresAt: Date.parse(validTo) };
}

/** Reads and checks the files; fails with `invalid` if one is missing or malformed or they do not match. */
export async function readCredentials(
  files: TlsFiles,
): Promise<Result<Credentials, AppError>> {
  try {
    const [cert, key, ca] = await Promise.all([
      readFile(files.certFile, 'utf8'),
      readFile(files.keyFile, 'utf8'),
      readFile(files.caFile, 'utf8'),
    ]);
    return Result.ok(parseCredentials(cert, key, ca));
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    return Result.err(appError('invalid', `TLS files: ${reason}`));
  }
}

function sameCredentials(a: Credentials, b: Credentials): boolean {
  return a.cert === b.cert && a.key === b.key && a.ca === b.ca;
}

function createCredentialMetrics(
  ctx: PartContext,
  expiresAt: () => Instant,
): Counter<'result'> {
  const registers = [ctx.metrics];
  new Gauge({
    name: 'paddlewind_tls_certificate_expiry_timestamp_seconds',
    help: 'Unix time at which the certificate in use expires',
    registers,
    collect() {
      this.set(expiresAt() / 1_000);
    },
  });
  return new Counter({
    name: 'paddlewind_tls_reloads_total',
    help: 'Reloads of changed certificate files, by result',
    labelNames: ['result'],
    registers,
  });
}

/** Reads the files and reloads them every `pollMs`; fails if they are unusable at start. */
export async function startCredentials(
  ctx: PartContext,
  files: TlsFiles,
  pollMs = DEFAULT_POLL_MS,
): Promise<Result<CredentialSource, AppError>> {
  const first = await readCredentials(files);
  return first.map(credentials =>
    pollCredentials(ctx, files, credentials, pollMs),
  );
}

function pollCredentials(
  ctx: PartContext,
  files: TlsFiles,
  first: Credentials,
  pollMs: number,
): CredentialSource {
  const listeners = createListeners<[Credentials]>();
  let current = first;
  let lastError: string | undefined;
  const reloads = createCredentialMetrics(ctx, () => current.expiresAt);

  function reportError(message: string): void {
    if (message !== lastError) {
      ctx.log.warn({ err: message }, 'tls: new certificate files are not used');
      reloads.inc({ result: 'refused' });
    }
    lastError = message;
  }

  function applyCredentials(next: Credentials): void {
    lastError = undefined;
    if (!sameCredentials(next, current)) {
      current = next;
      reloads.inc({ result: 'ok' });
      ctx.log.info(
        { expiresAt: next.expiresAt },
        'tls: certificates are reloaded',
      );
      listeners.emit(next);
    }
  }

  async function reload(): Promise<Result<Credentials, AppError>> {
    const read = await readCredentials(files);
    if (read.isOk) {
      applyCredentials(read.value);
    } else {
      reportError(read.error.message);
    }
    return read;
  }

  const timer = setInterval(() => void reload(), pollMs);
  return {
    current: () => current,
    onChange: listener => listeners.add(listener),
    reload,
    stop() {
      clearInterval(timer);
    },
  };
}
