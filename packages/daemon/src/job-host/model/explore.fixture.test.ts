/** Explores all states of the model within bounds, the nearest first. */

import type { Instant } from '@paddlewind/domain';

import {
  FIRST_STATE,
  TICK_MS,
  recordsOf,
  remembered,
  viewOf,
  type Host,
  type State,
} from './states.fixture.test.js';
import { stepsFrom, type Bounds, type Step } from './steps.fixture.test.js';
import { tidy } from './tidy.fixture.test.js';
import { Broken } from './worker-steps.fixture.test.js';

/** What an exploration has found. */
export interface Found {
  readonly states: number;
  /** The promise that is broken first, with the steps that lead there; empty for none. */
  readonly broken: string;
  readonly steps: readonly string[];
}

interface Node {
  readonly state: State;
  readonly name: string;
  readonly before: Node | undefined;
}

/** Time in milliseconds within which a task must be able to end: twice that after which a lost run is given up. */
const ENOUGH_MS = 4 * TICK_MS;

/** States after which a search for the task's end is given up. */
const MOST_TRIED = 3_000;

/** Explores until a promise is broken or nothing new is left. */
export function explore(bounds: Bounds): Found {
  const first = openingOf(bounds);
  const seen = new Set([keyOf(first.state)]);
  const ending = new Set<string>();
  let layer: Node[] = [first];
  for (let depth = 0; layer.length > 0 && depth < bounds.depth; depth += 1) {
    const next: Node[] = [];
    for (const node of layer) {
      if (!canEnd(node.state, bounds, ending)) {
        return foundAt(
          node,
          seen.size,
          'the task is lost: no path leads to its end',
        );
      }
      for (const step of stepsFrom(node.state, bounds)) {
        const after = take(step, bounds);
        if (after instanceof Broken) {
          const last: Node = { ...node, name: step.name, before: node };
          return foundAt(last, seen.size, after.message);
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
  return { states: seen.size, broken: '', steps: [] };
}

function openingOf(bounds: Bounds): Node {
  return bounds.opening.reduce<Node>(
    (before, wanted) => {
      const step = stepsFrom(before.state, bounds).find(({ name }) =>
        name.startsWith(wanted),
      );
      const state = step && take(step, bounds);
      if (
        step === undefined ||
        state === undefined ||
        state instanceof Broken
      ) {
        throw new Error(`no such step: ${wanted}`);
      }
      return { state, name: step.name, before };
    },
    { state: FIRST_STATE, name: '', before: undefined },
  );
}

function foundAt(node: Node, states: number, broken: string): Found {
  const steps: string[] = [];
  for (let at = node; at.before !== undefined; at = at.before) {
    steps.unshift(`${at.before.state.now} ms: ${at.name}`);
  }
  return { states, broken, steps };
}

function take(step: Step, bounds: Bounds): State | Broken {
  try {
    return tidy(step.then(), bounds);
  } catch (err) {
    if (err instanceof Broken) {
      return err;
    }
    throw err;
  }
}

const numbers = new Map<string, number>();
const numbersOfParts = new WeakMap<object, number>();

/** Numbers parts by what they hold; most parts of a state are those of the state before. */
function numberOf(part: object): number {
  return remembered(numbersOfParts, part, () => numberOfText(textOf(part)));
}

function numberOfText(text: string): number {
  const number = numbers.get(text) ?? numbers.size;
  numbers.set(text, number);
  return number;
}

function textOf(part: object): string {
  return 'lead' in part ? textOfHost(part as Host) : JSON.stringify(part);
}

/** What a leader has not written are the last records of its copy, so that their number tells them. */
function textOfHost({ name, reads, lead }: Host): string {
  if (lead === undefined) {
    return `${name} ${numberOf(reads)}`;
  }
  const { known, writing, batch, progress, links, ...rest } = lead;
  return [
    name,
    ...[reads, known, progress, ...links].map(numberOf),
    writing.length,
    batch.length,
    ...Object.values(rest),
  ].join(' ');
}

/** Returns a text that two states share only when they are alike. */
function keyOf(state: State): string {
  const { now, troubles, journal, lateAppends, cancelledAt } = state;
  const { workers, registered, messages, hosts, doneAcknowledged } = state;
  const parts = [journal, lateAppends, messages, ...workers, ...hosts];
  const numbered = parts.map(numberOf).join();
  return `${numbered},${now},${troubles},${cancelledAt},${registered},${String(doneAcknowledged)}`;
}

/** Whether a path without further trouble leads to the end of the task; `ending` keeps states from which one does. */
function canEnd(from: State, bounds: Bounds, ending: Set<string>): boolean {
  const until = from.now + ENOUGH_MS;
  const tried = new Set<string>();
  const search = (state: State): boolean => {
    const key = calmKeyOf(state);
    if (ending.has(key) || isEnd(state)) {
      ending.add(key);
      return true;
    }
    if (tried.has(key) || tried.size > MOST_TRIED) {
      return false;
    }
    tried.add(key);
    const found = calmSteps(state, bounds, until).some(step => {
      const after = take(step, bounds);
      return !(after instanceof Broken) && search(after);
    });
    if (found) {
      ending.add(key);
    }
    return found;
  };
  return search(from);
}

function calmKeyOf(state: State): string {
  return keyOf({ ...state, troubles: 0 });
}

/** Steps without trouble, of the newest leader only; the first host claims where there is none. */
function calmSteps(state: State, bounds: Bounds, until: Instant): Step[] {
  const { epoch } = viewOf(recordsOf(state.journal), false);
  const leader = state.hosts.find(({ lead }) => lead?.epoch === epoch);
  const others = state.hosts.filter(
    host => host !== (leader ?? state.hosts[0]),
  );
  const calm: Bounds = {
    ...bounds,
    until,
    epochs: epoch + 1,
    runs: Infinity,
    troubles: 0,
    cancels: false,
    releases: false,
    reads: false,
  };
  const asides = ['the late', ...others.map(({ name }) => `${name} `)];
  const steps = stepsFrom(state, calm).filter(
    ({ name }) => !asides.some(aside => name.startsWith(aside)),
  );
  // Heartbeats bring no end nearer: with them first the search would be given up before it found one.
  const isHeartbeat = ({ name }: Step): boolean => name.endsWith('a heartbeat');
  return [
    ...steps.filter(step => !isHeartbeat(step)),
    ...steps.filter(isHeartbeat),
  ];
}

function isEnd({ journal, cancelledAt }: State): boolean {
  const { status, run } = viewOf(recordsOf(journal), false);
  return status === 'done' || (cancelledAt >= 0 && run === 0);
}
