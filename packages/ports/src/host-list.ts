/** Port to the platform's list of hosts, which lags behind their actual state. */
import type { AppError, Resources } from '@paddlewind/domain';
import type { Result } from 'true-myth';

/** Whether a host is in service or about to be removed. */
export type HostState = 'live' | 'leaving';

/** Role of a host. */
export type HostRole = 'worker' | 'entry';

/** An entry of the host list; a worker's entry includes the endpoints of its backend servers. */
export interface Host {
  readonly id: string;
  readonly role: HostRole;
  readonly state: HostState;
  /** `ip:port` of the worker agent, or of the entry host's listener for peers. */
  readonly address: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly rack: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly capacity: Resources;
  /** `ip:port` of the host's backend servers, by service name. */
  readonly endpoints: Readonly<Record<string, string>>;
}

/** Reads the list of hosts, which may be some seconds old. */
export interface HostList {
  list(): Promise<Result<readonly Host[], AppError>>;
}
