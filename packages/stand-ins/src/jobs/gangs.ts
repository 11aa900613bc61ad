/** In-memory gangs: members run only together, also across workers. */
import type { Millis } from '@paddlewind/domain';
import type { RunEnd } from '@paddlewind/domain/jobs';

import type { SimulatedTime } from './memory-job-log.js';

/** How long a member waits for the others, in milliseconds, by the specification. */
const GANG_WAIT_MS: Millis = 3_000;

/** A run that makes progress only together with the other members of its gang. */
export interface GangMember {
  /** Whether this member makes the gang's run fail. */
  readonly fails: boolean;
  /** Ends the run; has no effect if it has ended. */
  readonly end: (how: RunEnd) => void;
}

interface Gang {
  readonly members: GangMember[];
  finished: boolean;
}

/** Gangs of all workers, by run. */
export class Gangs {
  private readonly gangs = new Map<string, Gang>();

  /** Creates an empty table. */
  constructor(private readonly time: SimulatedTime) {}

  /** Adds a member to a run of `size` members; returns a function to call when the member stops. */
  join(
    run: string,
    size: number,
    runMs: Millis,
    member: GangMember,
  ): () => void {
    const known = this.gangs.get(run);
    const gang =
      known?.finished === false ? known : { members: [], finished: false };
    this.gangs.set(run, gang);
    gang.members.push(member);
    if (gang.members.length === size) {
      this.time.schedule(runMs, () => {
        finishGang(gang);
      });
    }
    this.time.schedule(GANG_WAIT_MS, () => {
      if (gang.members.length < size) {
        member.end('alone');
      }
    });
    return () => {
      breakGang(gang, member);
    };
  }
}

function finishGang(gang: Gang): void {
  if (gang.finished) {
    return;
  }
  gang.finished = true;
  const failed = gang.members.find(({ fails }) => fails);
  for (const member of gang.members) {
    const how = member === failed ? 'failed' : 'broken';
    member.end(failed === undefined ? 'done' : how);
  }
}

function breakGang(gang: Gang, stopped: GangMember): void {
  if (!gang.finished) {
    gang.finished = true;
    for (const member of gang.members.filter(other => other !== stopped)) {
      member.end('broken');
    }
  }
}
