/** Stand-in for the platform's host list over HTTP: a list that lags behind the truth. */
import { createHash } from 'node:crypto';

import type { Host } from '@paddlewind/ports';
import { z } from 'zod';

import { noEvents, type EventSink } from '../events/events.js';
import {
  CONTROL_PATH,
  createFaultControl,
  handleControl,
  type FaultControl,
} from '../http/faults.js';
import {
  broken,
  json,
  parseBody,
  startJsonServer,
  type JsonRequest,
  type ListenOptions,
  type Listener,
  type Reply,
} from '../http/json-server.js';
import { sleep } from '../http/timers.js';

/** Faults of the host list. */
export interface HostListFaults {
  /** How late the list shows a change, in milliseconds. */
  readonly lagMs: number;
  readonly slowMs: number;
  readonly outage: 'none' | 'refuse' | 'reset';
}

/** Options of the host list. */
export interface HostListServerOptions extends ListenOptions {
  readonly hosts?: readonly Host[];
  readonly faults?: Partial<HostListFaults>;
  readonly onEvent?: EventSink;
}

/** A running host list; changes show after the lag. */
export interface HostListServer extends Listener {
  readonly control: FaultControl<HostListFaults>;
  /** Adds a host or replaces the one of the same id. */
  readonly put: (host: Host) => void;
  /** Marks a host as leaving. */
  readonly leave: (id: string) => void;
  readonly remove: (id: string) => void;
}

const faultsSchema = z
  .strictObject({
    lagMs: z.number().nonnegative(),
    slowMs: z.number().nonnegative(),
    outage: z.enum(['none', 'refuse', 'reset']),
  })
  .partial();

const hostSchema = z.strictObject({
  id: z.string().min(1),
  role: z.enum(['worker', 'entry']),
  state: z.enum(['live', 'leaving']),
  address: z.string().min(1),
  region: z.string(),
  availabilityZone: z.string(),
  rack: z.string(),
  labels: z.record(z.string(), z.string()),
  capacity: z.strictObject({
    cpu: z.number().nonnegative(),
    memoryMiB: z.number().nonnegative(),
    accelerators: z.int().nonnegative(),
  }),
  endpoints: z.record(z.string(), z.string()),
});

interface Version {
  readonly at: number;
  readonly hosts: ReadonlyMap<string, Host>;
}

/** Starts a host list. */
export async function startHostListServer(
  options: HostListServerOptions = {},
): Promise<HostListServer> {
  const faults = { lagMs: 0, slowMs: 0, outage: 'none' as const };
  const control = createFaultControl<HostListFaults>({
    ...faults,
    ...options.faults,
  });
  const truth = createTruth(options.hosts ?? [], options.onEvent ?? noEvents);
  const listener = await startJsonServer(async req => {
    if (req.url.pathname === CONTROL_PATH) {
      return handleControl(control, faultsSchema, req);
    }
    if (req.url.pathname === '/hosts' && req.method === 'GET') {
      return listHosts(control.faults(), truth, req);
    }
    return changeHost(truth, req);
  }, options);
  const { put, leave, remove } = truth;
  return { ...listener, control, put, leave, remove };
}

interface Truth {
  readonly put: (host: Host) => void;
  readonly leave: (id: string) => void;
  readonly remove: (id: string) => void;
  /** The hosts as they were `lagMs` ago; the first version when that is all there is. */
  asOf(lagMs: number): readonly Host[];
}

function createTruth(hosts: readonly Host[], onEvent: EventSink): Truth {
  const initial = new Map(hosts.map(host => [host.id, host]));
  let versions: Version[] = [{ at: -Infinity, hosts: initial }];

  function change(edit: (hosts: Map<string, Host>) => void): void {
    const next = new Map(versions.at(-1)?.hosts);
    edit(next);
    versions.push({ at: performance.now(), hosts: next });
  }

  return {
    put(host) {
      change(map => map.set(host.id, host));
      onEvent({ type: 'host_listed', host: host.id, state: host.state });
    },
    leave(id) {
      change(map => {
        const host = map.get(id);
        if (host !== undefined) {
          map.set(id, { ...host, state: 'leaving' });
        }
      });
      onEvent({ type: 'host_listed', host: id, state: 'leaving' });
    },
    remove(id) {
      change(map => map.delete(id));
      onEvent({ type: 'host_listed', host: id, state: 'gone' });
    },
    asOf(lagMs) {
      const horizon = performance.now() - lagMs;
      const shown = versions.findLastIndex(version => version.at <= horizon);
      versions = versions.slice(Math.max(0, shown));
      return [...(versions[0]?.hosts.values() ?? [])];
    },
  };
}

async function listHosts(
  faults: HostListFaults,
  truth: Truth,
  req: JsonRequest,
): Promise<Reply> {
  await sleep(faults.slowMs, req.signal);
  switch (faults.outage) {
    case 'refuse':
      return json(503, { error: 'outage' });
    case 'reset':
      return broken();
    case 'none':
      return listedAs(truth.asOf(faults.lagMs), req.ifNoneMatch);
  }
}

/** Answers with the list and its entity tag, or that it is still the one asked about. */
function listedAs(
  hosts: readonly Host[],
  ifNoneMatch: string | undefined,
): Reply {
  const text = JSON.stringify(hosts);
  const etag = `"${createHash('sha256').update(text).digest('base64url')}"`;
  return etag === ifNoneMatch
    ? { kind: 'not_modified' }
    : json(200, { hosts }, { etag });
}

function changeHost(truth: Truth, req: JsonRequest): Reply {
  const match = /^\/hosts\/([^/]+)(\/leave)?$/.exec(req.url.pathname);
  const id = match?.[1];
  if (id === undefined) {
    return json(404, {
      error: 'expected /hosts, /hosts/ID or /hosts/ID/leave',
    });
  }
  if (match?.[2] !== undefined && req.method === 'POST') {
    truth.leave(id);
    return json(200, {});
  }
  switch (req.method) {
    case 'DELETE':
      truth.remove(id);
      return json(200, {});
    case 'PUT': {
      const parsed = parseBody(hostSchema, req.body);
      if ('error' in parsed) {
        return json(400, { error: parsed.error });
      }
      truth.put(parsed.value);
      return json(200, {});
    }
    default:
      return json(405, { error: 'expected PUT, DELETE or POST' });
  }
}
