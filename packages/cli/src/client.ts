/** Client of the entry hosts, with failover between them. */
import { readFileSync } from 'node:fs';

import {
  ERROR_KINDS,
  appError,
  type AppError,
  type ErrorKind,
  type Outcome,
} from '@paddlewind/domain';
import {
  ERROR_KIND_HEADER,
  ERROR_PATH_HEADER,
  OUTCOME_HEADER,
  OperatorService,
  RETRY_AFTER_MS_HEADER,
} from '@paddlewind/protocol';
import {
  Code,
  ConnectError,
  createClient,
  type Client,
} from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { Result } from 'true-myth';

/** Client of the operator service. */
export type OperatorClient = Client<typeof OperatorService>;

/** Files of the client certificate that the command line presents. */
export interface ClientTls {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile: string;
}

/** Tries the entry hosts in order until one answers; each call is idempotent by its id. */
export interface Operators {
  call<T>(
    run: (client: OperatorClient) => Promise<T>,
  ): Promise<Result<T, AppError>>;
}

/** Creates the client for `servers`, each `ip:port`. */
export function createOperators(
  servers: readonly string[],
  tls: ClientTls | undefined,
): Operators {
  const clients = servers.map(server => ({
    server,
    client: connect(server, tls),
  }));
  return {
    async call(run) {
      let last: AppError = appError(
        'invalid',
        'No server is given; use --server ip:port.',
      );
      for (const { server, client } of clients) {
        try {
          return Result.ok(await run(client));
        } catch (err) {
          last = toAppError(ConnectError.from(err), server);
          if (last.kind !== 'not_ready' && last.kind !== 'log_unavailable') {
            return Result.err(last);
          }
        }
      }
      return Result.err(last);
    },
  };
}

function connect(server: string, tls: ClientTls | undefined): OperatorClient {
  if (tls === undefined) {
    const transport = createConnectTransport({
      baseUrl: `http://${server}`,
      httpVersion: '1.1',
    });
    return createClient(OperatorService, transport);
  }
  const transport = createConnectTransport({
    baseUrl: `https://${server}`,
    httpVersion: '2',
    nodeOptions: {
      cert: readFileSync(tls.certFile),
      key: readFileSync(tls.keyFile),
      ca: readFileSync(tls.caFile),
    },
  });
  return createClient(OperatorService, transport);
}

/** Converts a failed call to an application error. */
export function toAppError(err: ConnectError, server: string): AppError {
  const kind = err.metadata.get(ERROR_KIND_HEADER);
  if (kind === null || !isErrorKind(kind)) {
    return toTransportError(err, server);
  }
  const path = err.metadata.get(ERROR_PATH_HEADER);
  const retryAfterMs = Number(err.metadata.get(RETRY_AFTER_MS_HEADER) ?? NaN);
  const outcome = err.metadata.get(OUTCOME_HEADER);
  return appError(kind, err.rawMessage, {
    ...(isOutcome(outcome) ? { outcome } : {}),
    ...(path === null ? {} : { path }),
    ...(Number.isFinite(retryAfterMs) ? { retryAfterMs } : {}),
  });
}

function toTransportError(err: ConnectError, server: string): AppError {
  if (err.code === Code.Unavailable || isBrokenConnection(err)) {
    return appError(
      'not_ready',
      `${server} cannot be reached (${err.rawMessage}); check that paddlewindd runs there, and whether it asks for a certificate.`,
      { outcome: 'unknown' },
    );
  }
  if (err.code === Code.DeadlineExceeded) {
    return appError('timeout', `${server} did not answer in time.`);
  }
  return appError('internal', `${server}: ${err.rawMessage}`);
}

/** Error codes of a connection that was refused or closed without a response. */
const BROKEN_CONNECTION_CODES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'ECONNRESET',
  'EPIPE',
  'EPROTO',
]);

function isBrokenConnection({ cause }: ConnectError): boolean {
  return (
    cause instanceof Error &&
    'code' in cause &&
    BROKEN_CONNECTION_CODES.has(cause.code)
  );
}

function isErrorKind(text: string): text is ErrorKind {
  return (ERROR_KINDS as readonly string[]).includes(text);
}

function isOutcome(text: string | null): text is Outcome {
  return text === 'run' || text === 'not_run' || text === 'unknown';
}
