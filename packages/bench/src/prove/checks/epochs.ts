/** A shard has one owner at a time, and a superseded one changes nothing. */
import type { Check, Finding, Violation } from '../check.js';
import { eventsOf, groupBy, type EventOf, type History } from '../history.js';

/** Checks that an epoch has one owner, and that no worker starts a task for an older epoch than it has seen. */
export const epochsCheck: Check = {
  name: 'epochs',
  promise:
    'A shard has one owner at a time; a superseded owner starts nothing.',
  cases: 'claims and starts',
  check,
};

function check(history: History): Finding {
  const claims = eventsOf(history, 'shard_claimed');
  const starts = eventsOf(history, 'task_began');
  const violations = [...twoOwners(claims), ...oldEpochs(starts)];
  return { checked: claims.length + starts.length, violations };
}

function twoOwners(claims: readonly EventOf<'shard_claimed'>[]): Violation[] {
  const byEpoch = groupBy(claims, claim => `${claim.shard}@${claim.epoch}`);
  return [...byEpoch].flatMap(([epoch, same]) => {
    const owners = new Set(same.map(claim => claim.owner));
    return owners.size <= 1
      ? []
      : [{ message: `${epoch} has ${owners.size} owners`, events: same }];
  });
}

function oldEpochs(starts: readonly EventOf<'task_began'>[]): Violation[] {
  const byBoot = groupBy(starts, start => `${start.boot}/${start.shard}`);
  return [...byBoot.values()].flatMap(same =>
    same.flatMap((start, i) => {
      const newer = same.slice(0, i).find(other => other.epoch > start.epoch);
      if (newer === undefined) {
        return [];
      }
      const message = `${start.worker} started ${start.task} for a superseded epoch`;
      return [{ message, events: [newer, start] }];
    }),
  );
}
