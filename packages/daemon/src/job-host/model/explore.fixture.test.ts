/** Explores all states of the model within bounds, in breadth-first order. */

import type { Instant } from '@paddlewind/domain';

import {
  INITIAL_STATE,
  TICK_MS,
  recordsOf,
  memoize,
  taskViewOf,
  type Host,
  type State,
} from './states.fixture.test.js';
import { stepsFrom, type Bounds, type Step } from './steps.fixture.test.js';
import { normalize } from './normalize.fixture.test.js';
import { GuaranteeViolation } from './worker-steps.fixture.test.js';

/** Result of an exploration. */
export interface Exploration {
  readonly states: number;
  /** The first guarantee that was violated; empty if none was. The steps lead to that state. */
  readonly violation: string;
  readonly steps: readonly string[];
}

interface Node {
  readonly state: State;
  readonly name: string;
  readonly before: Node | undefined;
}

/**
 * Time in milliseconds within which a task must be able to complete: twice the time after which a
 * lost run is abandoned.
 */
const COMPLETION_TIME_MS = 4 * TICK_MS;

/** Number of states after which the search for a completion stops. */
const MAX_SEARCH_STATES = 3_000;

/** Explores until a guarantee is violated or no new states are left. */
export function explore(bounds: Bounds): Exploration {
  const first = replayOpening(bounds);
  const seen = new Set([keyOf(first.state)]);
  const ending = new Set<string>();
  let layer: Node[] = [first];
  for (let depth = 0; layer.length > 0 && depth < bounds.depth; depth += 1) {
    const next: Node[] = [];
    for (const node of layer) {
      if (!canComplete(node.state, bounds, ending)) {
        return violationAt(
          node,
          seen.size,
          'the task is lost: no path leads to its end',
        );
      }
      for (const step of stepsFrom(node.state, bounds)) {
        const after = applyStep(step, bounds);
        if (after instanceof GuaranteeViolation) {
          const last: Node = { ...node, name: step.name, before: node };
          return violationAt(last, seen.size, after.message);
        }
        const key = keyOf(after);
        if (!seen.has(key)) {
          seen.add(key);
          next.push({ state: after, name: step.name, before: node });
        }
      }
    }
    layer = next;
  }
  return { states: seen.size, violation: '', steps: [] };
}

function replayOpening(bounds: Bounds): Node {
  return bounds.opening.reduce<Node>(
    (before, wanted) => {
      const step = stepsFrom(before.state, bounds).find(({ name }) =>
        name.startsWith(wanted),
      );
      const state = step && applyStep(step, bounds);
      if (
        step === undefined ||
        state === undefined ||
        state instanceof GuaranteeViolation
      ) {
        throw new Error(`no such step: ${wanted}`);
      }
      return { state, name: step.name, before };
    },
    { state: INITIAL_STATE, name: '', before: undefined },
  );
}

function violationAt(
  node: Node,
  states: number,
  violation: string,
): Exploration {
  const steps: string[] = [];
  for (let at = node; at.before !== undefined; at = at.before) {
    steps.unshift(`${at.before.state.now} ms: ${at.name}`);
  }
  return { states, violation, steps };
}

function applyStep(step: Step, bounds: Bounds): State | GuaranteeViolation {
  try {
    return normalize(step.apply(), bounds);
  } catch (err) {
    if (err instanceof GuaranteeViolation) {
      return err;
    }
    throw err;
  }
}

const idsOfTexts = new Map<string, number>();
const idsOfParts = new WeakMap<object, number>();

/** Returns an id for the content of a part of a state; most parts are shared with the state before. */
function idOf(part: object): number {
  return memoize(idsOfParts, part, () => idOfText(textOf(part)));
}

function idOfText(text: string): number {
  const id = idsOfTexts.get(text) ?? idsOfTexts.size;
  idsOfTexts.set(text, id);
  return id;
}

function textOf(part: object): string {
  return 'lead' in part ? textOfHost(part as Host) : JSON.stringify(part);
}

/** The unwritten records of a leader are the last ones of its copy, so their number identifies them. */
function textOfHost({ name, journalReads, lead }: Host): string {
  if (lead === undefined) {
    return `${name} ${idOf(journalReads)}`;
  }
  const { copy, writing, batch, progress, links, ...rest } = lead;
  return [
    name,
    ...[journalReads, copy, progress, ...links].map(idOf),
    writing.length,
    batch.length,
    ...Object.values(rest),
  ].join(' ');
}

/** Returns a key that is equal only for identical states. */
function keyOf(state: State): string {
  const { now, disruptions, journal, delayedAppends, cancelledAt } = state;
  const { workers, registered, messages, hosts, doneAcknowledged } = state;
  const parts = [journal, delayedAppends, messages, ...workers, ...hosts];
  const numbered = parts.map(idOf).join();
  return `${numbered},${now},${disruptions},${cancelledAt},${registered},${String(doneAcknowledged)}`;
}

/**
 * Whether the task can complete without further disruption; `ending` collects states from which it
 * can.
 */
function canComplete(
  from: State,
  bounds: Bounds,
  ending: Set<string>,
): boolean {
  const until = from.now + COMPLETION_TIME_MS;
  const tried = new Set<string>();
  const search = (state: State): boolean => {
    const key = keyIgnoringDisruptions(state);
    if (ending.has(key) || isComplete(state)) {
      ending.add(key);
      return true;
    }
    if (tried.has(key) || tried.size > MAX_SEARCH_STATES) {
      return false;
    }
    tried.add(key);
    const found = undisruptedSteps(state, bounds, until).some(step => {
      const after = applyStep(step, bounds);
      return !(after instanceof GuaranteeViolation) && search(after);
    });
    if (found) {
      ending.add(key);
    }
    return found;
  };
  return search(from);
}

function keyIgnoringDisruptions(state: State): string {
  return keyOf({ ...state, disruptions: 0 });
}

/**
 * Returns the steps without disruptions, of the newest leader only; without a leader the first host
 * claims.
 */
function undisruptedSteps(
  state: State,
  bounds: Bounds,
  until: Instant,
): Step[] {
  const { epoch } = taskViewOf(recordsOf(state.journal), false);
  const leader = state.hosts.find(({ lead }) => lead?.epoch === epoch);
  const others = state.hosts.filter(
    host => host !== (leader ?? state.hosts[0]),
  );
  const undisrupted: Bounds = {
    ...bounds,
    until,
    epochs: epoch + 1,
    runs: Infinity,
    maxDisruptions: 0,
    cancels: false,
    releases: false,
    reads: false,
  };
  const excludedPrefixes = [
    'the delayed',
    ...others.map(({ name }) => `${name} `),
  ];
  const steps = stepsFrom(state, undisrupted).filter(
    ({ name }) => !excludedPrefixes.some(prefix => name.startsWith(prefix)),
  );
  // Heartbeats don't bring completion nearer: tried first, they would use up the search.
  const isHeartbeat = ({ name }: Step): boolean => name.endsWith('a heartbeat');
  return [
    ...steps.filter(step => !isHeartbeat(step)),
    ...steps.filter(isHeartbeat),
  ];
}

function isComplete({ journal, cancelledAt }: State): boolean {
  const { status, run } = taskViewOf(recordsOf(journal), false);
  return status === 'done' || (cancelledAt >= 0 && run === 0);
}
