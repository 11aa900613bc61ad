/** The list of metrics, read from a running entry host and from the registry of a job host. */
import { settingsSchema, startEntryHost } from '@paddlewind/daemon';
import {
  createJobMeters,
  registerJobGauges,
  registerLinkMetrics,
  registerPartTimes,
  PartTimes,
} from '@paddlewind/daemon/job-host';
import { startHostListServer, startLogServer } from '@paddlewind/stand-ins';
import { pino } from 'pino';
import { Registry } from 'prom-client';

const LISTEN = '127.0.0.1:0';
const OWN_PREFIX = 'paddlewind_';

/** A metric of ours as `/metrics` describes it. */
export interface MetricInfo {
  readonly name: string;
  readonly type: string;
  readonly help: string;
}

/** Starts an entry host with nothing around it and returns the metrics that it has, by name. */
export async function listMetrics(): Promise<MetricInfo[]> {
  const log = await startLogServer({});
  const hosts = await startHostListServer({ hosts: [] });
  const settings = settingsSchema.parse({
    host: { id: 'entry-1', region: 'region', availabilityZone: 'zone' },
    router: { listen: LISTEN },
    peers: { listen: LISTEN },
    admin: { listen: LISTEN },
    platform: { log: log.address, hostList: hosts.address },
    shutdown: { balancerMs: 0, drainMs: 0 },
  });
  const host = await startEntryHost(settings, pino({ level: 'silent' }));
  const res = await fetch(`http://${host.addresses.admin}/metrics`);
  const text = await res.text();
  await host.stop();
  await Promise.all([log.close(), hosts.close()]);
  return parseMetrics(`${text}\n${await describeJobHost()}`);
}

/** Describes the metrics of a host on the users' platform. */
function describeJobHost(): Promise<string> {
  const registry = new Registry();
  createJobMeters(registry);
  registerJobGauges(registry, {
    epoch: () => 0,
    ready: () => false,
    configVersion: () => 0,
    openJobs: () => 0,
    openRuns: () => 0,
  });
  registerLinkMetrics(registry, [], () => ({ sent: 0, received: 0 }));
  registerPartTimes(registry, new PartTimes(() => 0));
  return registry.metrics();
}

function parseMetrics(text: string): MetricInfo[] {
  const types = new Map<string, string>();
  for (const [, name = '', type = ''] of text.matchAll(
    /^# TYPE (\S+) (\S+)$/gm,
  )) {
    types.set(name, type);
  }
  const found: MetricInfo[] = [];
  for (const [, name = '', help = ''] of text.matchAll(
    /^# HELP (\S+) (.*)$/gm,
  )) {
    if (name.startsWith(OWN_PREFIX)) {
      found.push({ name, type: types.get(name) ?? '', help });
    }
  }
  return found.sort((a, b) => (a.name < b.name ? -1 : 1));
}
