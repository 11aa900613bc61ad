/** The platform's lagging list of hosts as the rest of the system sees it. */
import type { AppError, Resources } from '@paddlewind/domain';
import type { Result } from 'true-myth';

/** Whether a host is in service or on its way out. */
export type HostState = 'live' | 'leaving';

/** What a host is for. */
export type HostRole = 'worker' | 'entry';

/** A host as listed; a worker also lists the endpoints of the backend servers that it runs. */
export interface Host {
  readonly id: string;
  readonly role: HostRole;
  readonly state: HostState;
  /** `ip:port` of the worker agent, or of an entry host's peer port. */
  readonly address: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly rack: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly capacity: Resources;
  /** `ip:port` of the backend server of each service on the host, by service name. */
  readonly endpoints: Readonly<Record<string, string>>;
}

/** The list of hosts, possibly some seconds old. */
export interface HostList {
  list(): Promise<Result<readonly Host[], AppError>>;
}
