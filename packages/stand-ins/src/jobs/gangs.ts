/** Gangs in memory: their members work only together, on whatever worker each of them is. */
import type { Millis } from '@paddlewind/domain';
import type { RunEnd } from '@paddlewind/domain/jobs';

import type { SimulatedTime } from './memory-job-log.js';

/** How long members wait for the others, in milliseconds, as the users' rules say. */
const GANG_MS: Millis = 3_000;

/** A run that works only beside the others of its gang. */
export interface GangMember {
  /** Whether the gang's run fails because of it. */
  readonly fails: boolean;
  /** Ends the run; nothing happens when it has ended. */
  readonly end: (how: RunEnd) => void;
}

interface Gang {
  readonly members: GangMember[];
  over: boolean;
}

/** The gangs of all workers. */
export class Gangs {
  private readonly gangs = new Map<string, Gang>();

  /** Creates a table without gangs. */
  constructor(private readonly time: SimulatedTime) {}

  /** Adds a member to a run of `size` members; returns what to call when it works no more. */
  join(
    run: string,
    size: number,
    runMs: Millis,
    member: GangMember,
  ): () => void {
    const known = this.gangs.get(run);
    const gang = known?.over === false ? known : { members: [], over: false };
    this.gangs.set(run, gang);
    gang.members.push(member);
    if (gang.members.length === size) {
      this.time.schedule(runMs, () => {
        finish(gang);
      });
    }
    this.time.schedule(GANG_MS, () => {
      if (gang.members.length < size) {
        member.end('alone');
      }
    });
    return () => {
      breakUp(gang, member);
    };
  }
}

function finish(gang: Gang): void {
  if (gang.over) {
    return;
  }
  gang.over = true;
  const failed = gang.members.find(({ fails }) => fails);
  for (const member of gang.members) {
    const how = member === failed ? 'failed' : 'broken';
    member.end(failed === undefined ? 'done' : how);
  }
}

function breakUp(gang: Gang, left: GangMember): void {
  if (!gang.over) {
    gang.over = true;
    for (const member of gang.members.filter(other => other !== left)) {
      member.end('broken');
    }
  }
}
