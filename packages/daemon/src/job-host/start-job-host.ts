/** Puts the parts of a job host together. */
import type { Millis } from '@paddlewind/domain';
import { forgetOver } from '@paddlewind/domain/jobs';
import type {
  AdvicePort,
  ConfigFeed,
  JobLog,
  OperatorConfig,
  WorkerFeed,
  WorkerPort,
} from '@paddlewind/ports/jobs';

import { pause, type HostContext } from './context.js';
import { JobService } from './job-service.js';
import { Leader } from './leader.js';
import { awaitLeadership } from './leadership.js';
import { Replica } from './replica.js';
import { CONTACT_LOST_MS, FORGET_EVERY_MS } from './timing.js';

/** What a job host is given. */
export interface JobHostOptions {
  readonly ctx: HostContext;
  readonly jobLog: JobLog;
  readonly configFeed: ConfigFeed;
  readonly workerFeed: () => WorkerFeed;
  readonly workerPort: () => WorkerPort;
  readonly advicePort: () => AdvicePort;
  readonly maxLeaseMs: Millis;
  /** How long the log keeps records. */
  readonly retentionMs: Millis;
  /** How long the state of a job that is over can be asked for. */
  readonly statusMs: Millis;
}

/** A running job host. */
export interface JobHost {
  readonly service: JobService;
  /** The newest configuration, undefined before the first. */
  readonly config: () => OperatorConfig | undefined;
  /** Whether callers should be sent here. */
  readonly ready: () => boolean;
  /** Hands the leadership over; resolves when another host leads or `waitMs` have passed. */
  readonly handOver: (waitMs: Millis) => Promise<void>;
}

/**
 * Longest wait for a newer configuration in one read. A read that a cut has swallowed must be given
 * up and repeated within the 3 s after which a host counts as connected again.
 */
const CONFIG_WAIT_MS: Millis = 1_500;
/** Pause before the configuration is asked for again while the log does not answer. */
const CONFIG_RETRY_MS: Millis = 200;

/** Starts following the configuration and the journal. */
export function startJobHost(options: JobHostOptions): JobHost {
  const { ctx, jobLog } = options;
  const replica = new Replica(ctx, jobLog);
  let config: OperatorConfig | undefined;
  let leader: Leader | undefined;
  let stopping = false;
  void followConfig();
  void takeTurns();
  void forget();

  async function followConfig(): Promise<void> {
    for (;;) {
      const found = await options.configFeed.next(CONFIG_WAIT_MS);
      if (found.kind === 'value') {
        takeConfig(found.value);
      } else {
        await pause(ctx, CONFIG_RETRY_MS);
      }
    }
  }

  function takeConfig(found: OperatorConfig): void {
    if (config !== undefined && found.version <= config.version) {
      return;
    }
    config = found;
    const { version, queues } = found;
    ctx.log.info({ version, queues: queues.length }, 'config: in force');
  }

  async function forget(): Promise<void> {
    for (;;) {
      await pause(ctx, FORGET_EVERY_MS);
      const now = ctx.clock();
      forgetOver(replica.state, now, now - options.statusMs);
    }
  }

  async function takeTurns(): Promise<void> {
    while (!stopping) {
      const claim = await awaitLeadership(ctx, jobLog, replica, () => stopping);
      if (claim === undefined) {
        return;
      }
      leader = new Leader({
        ctx,
        jobLog,
        replica,
        feed: options.workerFeed(),
        port: options.workerPort(),
        advicePort: options.advicePort(),
        maxLeaseMs: options.maxLeaseMs,
        retentionMs: options.retentionMs,
        claim,
      });
      leader.begin();
      await leader.deposed;
      leader = undefined;
      replica.reset();
    }
  }

  return {
    service: new JobService(ctx, jobLog, replica, () => leader),
    config: () => config,
    ready: () =>
      !stopping &&
      config !== undefined &&
      ctx.clock() - replica.contactAt < CONTACT_LOST_MS,
    handOver: async waitMs => {
      stopping = true;
      if (leader !== undefined) {
        leader.release();
        await Promise.race([leader.deposed, pause(ctx, waitMs)]);
      }
    },
  };
}
