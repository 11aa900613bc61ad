/** What a leader works with. */
import type { Millis } from '@paddlewind/domain';
import type {
  AdvicePort,
  JobLog,
  WorkerFeed,
  WorkerPort,
} from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';
import type { WonClaim } from './leadership.js';
import type { StartSender } from './relay/start-sender.js';
import type { Replica } from './replica.js';

/** What a leader is given. */
export interface LeaderOptions {
  readonly ctx: HostContext;
  readonly jobLog: JobLog;
  readonly replica: Replica;
  readonly feed: WorkerFeed;
  readonly port: WorkerPort;
  readonly starts: StartSender;
  readonly advicePort: AdvicePort;
  readonly maxLeaseMs: Millis;
  /** How long the log keeps records. */
  readonly retentionMs: Millis;
  /** How long the state of a job that is over can be asked for. */
  readonly statusMs: Millis;
  /** Where this host takes records for the inbox. */
  readonly peerAddress: string;
  readonly claim: WonClaim;
}
