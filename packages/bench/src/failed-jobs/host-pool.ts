/** Daemon processes of a run, which are killed, frozen and started again. */
import { setTimeout as sleep } from 'node:timers/promises';

import {
  isReadyAt,
  type StoreServer,
} from '@paddlewind/stand-ins/users-platform';
import { request } from 'undici';

import {
  startPlatformHost,
  type PlatformHost,
} from '../demo/platform-hosts.js';
import { freePorts } from '../processes/free-ports.js';
import type { ProcessGroup } from '../processes/process-group.js';
import { until } from '../processes/until.js';

/** Dependencies of a pool of hosts. */
export interface HostPoolOptions {
  readonly group: ProcessGroup;
  /** Directory of settings and logs; each start of a host has a log of its own. */
  readonly directory: string;
  readonly store: StoreServer;
}

const EPOCH_METRIC = /^paddlewind_jobs_leader_epoch (\d+)$/mu;
const METRICS_TIMEOUT_MS = 500;
const READY_LIMIT_MS = 15_000;

/** The hosts of a deployment. */
export class HostPool {
  private readonly hosts = new Map<string, PlatformHost>();
  private readonly lives = new Map<string, number>();

  /** Creates an empty pool. */
  constructor(private readonly options: HostPoolOptions) {}

  /** The hosts whose processes run, frozen ones too. */
  get running(): PlatformHost[] {
    return [...this.hosts.values()].filter(({ child }) => child.running());
  }

  /** Starts a host, again or for the first time. */
  async start(name: string): Promise<void> {
    const { group, directory, store } = this.options;
    const life = (this.lives.get(name) ?? 0) + 1;
    this.lives.set(name, life);
    const internalPorts = await freePorts(2);
    const host = await startPlatformHost(group, directory, name, store, {
      fileName: `${name}.${life}`,
      fields: { internalPorts },
    });
    this.hosts.set(name, host);
  }

  /** Waits until all hosts are ready and one leads. */
  async untilReady(): Promise<void> {
    const ready = await until(async () => {
      const states = await Promise.all(
        this.running.map(({ readiness }) => isReadyAt(readiness)),
      );
      const leader = await this.leader();
      return states.every(Boolean) && leader !== undefined ? true : undefined;
    }, READY_LIMIT_MS);
    if (ready === undefined) {
      throw new Error('the hosts did not become ready');
    }
  }

  /** Returns the running host that leads in the highest epoch, as far as hosts tell. */
  async leader(): Promise<PlatformHost | undefined> {
    const found = await Promise.all(
      this.running.map(async host => ({ host, epoch: await epochOf(host) })),
    );
    const leaders = found.filter(({ epoch }) => epoch > 0);
    return leaders.sort((a, b) => b.epoch - a.epoch)[0]?.host;
  }

  /** Kills a host and starts it again. */
  async restart(host: PlatformHost, afterMs: number): Promise<void> {
    host.child.signal('SIGKILL');
    await host.child.exited;
    await sleep(afterMs);
    await this.start(host.name);
  }

  /** Freezes a host for some time. */
  async freeze({ child }: PlatformHost, ms: number): Promise<void> {
    child.signal('SIGSTOP');
    await sleep(ms);
    child.signal('SIGCONT');
  }

  /** Kills all hosts. */
  async close(): Promise<void> {
    const children = this.running.map(({ child }) => child);
    children.forEach(child => {
      child.signal('SIGKILL');
    });
    await Promise.all(children.map(({ exited }) => exited));
  }
}

/** Returns the epoch in which a host leads; 0 if it does not lead or does not answer. */
async function epochOf({ metrics }: PlatformHost): Promise<number> {
  try {
    const res = await request(metrics, {
      signal: AbortSignal.timeout(METRICS_TIMEOUT_MS),
    });
    return Number(EPOCH_METRIC.exec(await res.body.text())?.[1] ?? 0);
  } catch {
    return 0;
  }
}
