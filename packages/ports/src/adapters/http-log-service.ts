/** HTTP adapter of the log service; defines its paths, fields and status codes. */
import { appError, type AppError } from '@paddlewind/domain';
import { Result } from 'true-myth';
import { z } from 'zod';

import type { LogPage, LogService, ReadRequest } from '../log-service.js';
import {
  createHttpClient,
  type AdapterOptions,
  type CallResult,
  type HttpClient,
} from './http-client.js';

/** A log service that holds connections and has to be closed. */
export interface HttpLogService extends LogService {
  close(): Promise<void>;
}

const RETRY_AFTER_MS = 1_000;

const offsetSchema = z.int().nonnegative();
const appendedSchema = z.object({ offset: offsetSchema });
const pageSchema = z.object({
  entries: z.array(z.object({ offset: offsetSchema, payload: z.string() })),
  first: offsetSchema,
  head: offsetSchema,
});

/** Creates a client of the log service at `address` (`ip:port`, or a base URL). */
export function createHttpLogService(
  address: string,
  options: AdapterOptions = {},
): HttpLogService {
  const client = createHttpClient(options);
  return {
    append: (stream, payload) => append(client, address, stream, payload),
    read: req => read(client, address, req),
    close: () => client.close(),
  };
}

function pathOf(stream: string): string {
  return `/streams/${encodeURIComponent(stream)}/entries`;
}

async function append(
  client: HttpClient,
  address: string,
  stream: string,
  payload: string,
): Promise<Result<number, AppError>> {
  const res = await client.call({
    method: 'POST',
    address,
    path: pathOf(stream),
    body: { payload },
  });
  if (res.kind === 'failed') {
    return unavailable(res.reason, res.outcome);
  }
  switch (res.status) {
    case 201:
      return appended(res.body);
    case 429:
      return Result.err(
        appError('overloaded', 'The log service is over its append rate.', {
          retryAfterMs: RETRY_AFTER_MS,
        }),
      );
    case 400:
      return Result.err(
        appError('invalid', 'The log service refused the entry as malformed.'),
      );
    default:
      // An intermediary may answer although the log service stored the entry.
      return unavailable(`status ${res.status}`, 'unknown');
  }
}

function appended(body: unknown): Result<number, AppError> {
  const parsed = appendedSchema.safeParse(body);
  return parsed.success
    ? Result.ok(parsed.data.offset)
    : unavailable('malformed answer to an append', 'unknown');
}

async function read(
  client: HttpClient,
  address: string,
  req: ReadRequest,
): Promise<Result<LogPage, AppError>> {
  const query = new URLSearchParams({
    from: String(req.from),
    limit: String(req.limit),
    wait_ms: String(req.waitMs),
  });
  const res = await client.call({
    method: 'GET',
    address,
    path: `${pathOf(req.stream)}?${query.toString()}`,
    waitMs: req.waitMs,
    ...(req.signal === undefined ? {} : { signal: req.signal }),
  });
  return page(res, req);
}

function page(res: CallResult, req: ReadRequest): Result<LogPage, AppError> {
  if (res.kind === 'failed') {
    return unavailable(res.reason, 'not_run');
  }
  switch (res.status) {
    case 200:
      return checkedPage(res.body, req);
    case 410:
      return Result.err(
        appError(
          'log_trimmed',
          `Offset ${req.from} of ${req.stream} is no longer kept.`,
        ),
      );
    default:
      return unavailable(`status ${res.status}`, 'not_run');
  }
}

/** Validates a page: its offsets must be consecutive and start at the requested one. */
function checkedPage(
  body: unknown,
  req: ReadRequest,
): Result<LogPage, AppError> {
  const parsed = pageSchema.safeParse(body);
  if (!parsed.success) {
    return unavailable('malformed page', 'not_run');
  }
  const { entries, head } = parsed.data;
  const ordered = entries.every((entry, i) => entry.offset === req.from + i);
  const next = req.from + entries.length;
  if (!ordered || (entries.length > 0 && next > head)) {
    return unavailable('page with wrong offsets', 'not_run');
  }
  return Result.ok(parsed.data);
}

function unavailable(
  reason: string,
  outcome: 'not_run' | 'unknown',
): Result<never, AppError> {
  const message = `The log service is unavailable: ${reason}.`;
  return Result.err(appError('log_unavailable', message, { outcome }));
}
