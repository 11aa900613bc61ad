/** The platform's host list over HTTP; all that is known of its paths, fields and status codes is here. */
import { appError, resourcesSchema, type AppError } from '@paddlewind/domain';
import { Result } from 'true-myth';
import { z } from 'zod';

import type { Host, HostList } from '../host-list.js';
import { createHttpClient, type AdapterOptions } from './http-client.js';

/** A host list with connections to close. */
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

/** Creates a host list at `address` (`ip:port`, or a base URL). */
export function createHttpHostList(
  address: string,
  options: AdapterOptions = {},
): HttpHostList {
  const client = createHttpClient(options);
  return {
    async list() {
      const call = { method: 'GET', address, path: '/hosts' } as const;
      const res = await client.call(call);
      if (res.kind === 'failed') {
        return unavailable(res.reason);
      }
      return res.status === 200
        ? checkedList(res.body)
        : unavailable(`status ${res.status}`);
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
