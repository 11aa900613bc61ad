/** Certificate, key and authority from files, read again when they change. */
import { X509Certificate } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { createSecureContext } from 'node:tls';

import { appError, type AppError, type Instant } from '@paddlewind/domain';
import { Counter, Gauge } from 'prom-client';
import { Result } from 'true-myth';

import { createListeners } from '../core/listeners.js';
import type { PartContext, Stop } from '../parts.js';

/** Files in PEM, as named in the settings. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile: string;
}

/** Certificate, key and authority in PEM. */
export interface Credentials {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
  /** Wall-clock end of the certificate's validity. */
  readonly expiresAt: Instant;
}

/** Credentials in use. */
export interface CredentialSource {
  current(): Credentials;
  onChange(listener: (credentials: Credentials) => void): Stop;
  /** Reads the files now; what is unusable is refused and the last good ones stay. */
  reload(): Promise<Result<Credentials, AppError>>;
  stop: Stop;
}

const DEFAULT_POLL_MS = 10_000;

function checkPems(cert: string, key: string, ca: string): Credentials {
  createSecureContext({ cert, key, ca });
  const { validTo } = new X509Certificate(cert);
  return { cert, key, ca, expiresAt: Date.parse(validTo) };
}

/** Reads and checks credentials; fails with `invalid` when a file is missing, malformed or does not match. */
export async function readCredentials(
  files: TlsFiles,
): Promise<Result<Credentials, AppError>> {
  try {
    const [cert, key, ca] = await Promise.all([
      readFile(files.certFile, 'utf8'),
      readFile(files.keyFile, 'utf8'),
      readFile(files.caFile, 'utf8'),
    ]);
    return Result.ok(checkPems(cert, key, ca));
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

/** Reads the files and follows them by reading them every `pollMs`; fails when they are unusable at start. */
export async function startCredentials(
  ctx: PartContext,
  files: TlsFiles,
  pollMs = DEFAULT_POLL_MS,
): Promise<Result<CredentialSource, AppError>> {
  const first = await readCredentials(files);
  return first.map(credentials =>
    followCredentials(ctx, files, credentials, pollMs),
  );
}

function followCredentials(
  ctx: PartContext,
  files: TlsFiles,
  first: Credentials,
  pollMs: number,
): CredentialSource {
  const changed = createListeners<[Credentials]>();
  let current = first;
  let lastFault: string | undefined;
  const reloads = createCredentialMetrics(ctx, () => current.expiresAt);

  function noteFault(message: string): void {
    if (message !== lastFault) {
      ctx.log.warn({ err: message }, 'tls: new certificate files are not used');
      reloads.inc({ result: 'refused' });
    }
    lastFault = message;
  }

  function use(next: Credentials): void {
    lastFault = undefined;
    if (!sameCredentials(next, current)) {
      current = next;
      reloads.inc({ result: 'ok' });
      ctx.log.info(
        { expiresAt: next.expiresAt },
        'tls: certificates are reloaded',
      );
      changed.tell(next);
    }
  }

  async function reload(): Promise<Result<Credentials, AppError>> {
    const read = await readCredentials(files);
    if (read.isOk) {
      use(read.value);
    } else {
      noteFault(read.error.message);
    }
    return read;
  }

  const timer = setInterval(() => void reload(), pollMs);
  return {
    current: () => current,
    onChange: listener => changed.add(listener),
    reload,
    stop() {
      clearInterval(timer);
    },
  };
}
