/** Accepted configuration is in force everywhere within seconds and never reverts. */
import type { Check, Finding, Violation } from '../check.js';
import { eventsOf, groupBy, type EventOf, type History } from '../history.js';

/** Time from acceptance to being in force on every ready entry host, in milliseconds. */
export const IN_FORCE_LIMIT_MS = 17_000;

/** Checks what ready entry hosts have in force against what was accepted, and that racing changes have one winner. */
export const configCheck: Check = {
  name: 'config',
  promise:
    'Accepted configuration is in force everywhere within seconds and never reverts.',
  cases: 'accepted changes and looks at what is in force',
  check,
};

function check(history: History): Finding {
  const accepted = eventsOf(history, 'config_accepted');
  const seen = eventsOf(history, 'config_seen').filter(event => event.ready);
  const violations = [
    ...late(accepted, seen),
    ...reverted(seen),
    ...twoWinners(accepted),
  ];
  return { checked: accepted.length + seen.length, violations };
}

function late(
  accepted: readonly EventOf<'config_accepted'>[],
  seen: readonly EventOf<'config_seen'>[],
): Violation[] {
  return accepted.flatMap(change => {
    const stale = seen.find(
      look =>
        look.at > change.at + IN_FORCE_LIMIT_MS && look.offset < change.offset,
    );
    if (stale === undefined) {
      return [];
    }
    const afterMs = Math.round(stale.at - change.at);
    const message = `${stale.entry} lacks offset ${change.offset} ${afterMs} ms after its acceptance`;
    return [{ message, events: [change, stale] }];
  });
}

function reverted(seen: readonly EventOf<'config_seen'>[]): Violation[] {
  const byEntry = groupBy(seen, look => look.entry);
  return [...byEntry].flatMap(([entry, looks]) =>
    looks.flatMap((look, i) => {
      const before = looks[i - 1];
      if (before === undefined || look.offset >= before.offset) {
        return [];
      }
      const message = `${entry} went back from offset ${before.offset} to ${look.offset}`;
      return [{ message, events: [before, look] }];
    }),
  );
}

function twoWinners(
  accepted: readonly EventOf<'config_accepted'>[],
): Violation[] {
  const byBase = groupBy(accepted, change => `${change.object}@${change.base}`);
  return [...byBase.values()].flatMap(same => {
    const offsets = new Set(same.map(change => change.offset));
    const object = same[0]?.object ?? '';
    return offsets.size <= 1
      ? []
      : [
          {
            message: `${object} was changed twice from one version`,
            events: same,
          },
        ];
  });
}
