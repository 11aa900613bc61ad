/** HTTP adapter of the platform's host list; defines its paths, fields and status codes. */
import { appError, resourcesSchema, type AppError } from '@paddlewind/domain';
import { Result } from 'true-myth';
import { z } from 'zod';

import type { Host, HostList } from '../host-list.js';
import { createHttpClient, type AdapterOptions } from './http-client.js';

/** A host list that holds connections and has to be closed. */
export interface HttpHostList extends HostList {
  close(): Promise<void>;
}

const addressSchema = z.string().regex(/^.+:\d{1,5}$/, 'expected ip:port');
const hostSchema = z.object({
  id: z.string().min(1),
  role: z.enum(['worker', 'entry']),
  state: z.enum(['live', 'leaving']),
  address: addressSchema,
  region: z.string(),
  availabilityZone: z.string(),
  rack: z.string(),
  labels: z.record(z.string(), z.string()),
  capacity: resourcesSchema,
  endpoints: z.record(z.string(), addressSchema),
});
const listSchema = z.object({ hosts: z.array(hostSchema) });

const OK = 200;
const NOT_MODIFIED = 304;

/** The last list that was read, with its entity tag for conditional requests. */
interface CachedList {
  readonly etag: string;
  readonly hosts: readonly Host[];
}

/** Creates a client of the host list at `address` (`ip:port`, or a base URL). */
export function createHttpHostList(
  address: string,
  options: AdapterOptions = {},
): HttpHostList {
  const client = createHttpClient(options);
  let cached: CachedList | undefined;
  return {
    async list() {
      const call = { method: 'GET', address, path: '/hosts' } as const;
      const condition =
        cached === undefined ? {} : { ifNoneMatch: cached.etag };
      const res = await client.call({ ...call, ...condition });
      if (res.kind === 'failed') {
        return unavailable(res.reason);
      }
      if (res.status === NOT_MODIFIED && cached !== undefined) {
        return Result.ok(cached.hosts);
      }
      if (res.status !== OK) {
        return unavailable(`status ${res.status}`);
      }
      const list = checkedList(res.body);
      const { etag } = res;
      cached =
        list.isOk && etag !== undefined
          ? { etag, hosts: list.value }
          : undefined;
      return list;
    },
    close: () => client.close(),
  };
}

function checkedList(body: unknown): Result<readonly Host[], AppError> {
  const parsed = listSchema.safeParse(body);
  if (parsed.success) {
    return Result.ok(parsed.data.hosts);
  }
  const path = parsed.error.issues[0]?.path.join('.') ?? '';
  return unavailable(`malformed at ${path}`);
}

function unavailable(reason: string): Result<never, AppError> {
  const message = `The host list is unavailable: ${reason}.`;
  return Result.err(appError('not_ready', message));
}
