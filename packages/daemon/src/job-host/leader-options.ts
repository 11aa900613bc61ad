/** Dependencies and settings of a leader. */
import type { Millis } from '@paddlewind/domain';
import type { MoveCosts } from '@paddlewind/domain/jobs';
import type { AdvicePort, JobLog, WorkerFeed } from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';
import type { EvacuatedZones } from './evacuated-zones.js';
import type { WonClaim } from './leadership.js';
import type { ProxiedWorkers } from './proxy/proxied-workers.js';
import type { StartSender } from './relay/start-sender.js';
import type { Replica } from './replica.js';

/** Dependencies and settings of a leader. */
export interface LeaderOptions {
  readonly ctx: HostContext;
  readonly jobLog: JobLog;
  readonly replica: Replica;
  readonly feed: WorkerFeed;
  readonly evacuatedZones: EvacuatedZones;
  readonly port: ProxiedWorkers;
  readonly starts: StartSender;
  readonly advicePort: AdvicePort;
  readonly maxLeaseMs: Millis;
  /** Returns the costs of moving a run; undefined where runs can't be moved quickly enough to be of use. */
  readonly moveCosts: () => MoveCosts | undefined;
  /** Whether hosts refuse jobs that, by the forecast of capacity, would end after they have lost their value. */
  readonly admitsByCapacity: boolean;
  /** How long the log keeps records. */
  readonly retentionMs: Millis;
  /** How long the state of a finished job can be queried. */
  readonly statusMs: Millis;
  /** Address at which this host accepts records for the inbox. */
  readonly peerAddress: string;
  readonly claim: WonClaim;
}
