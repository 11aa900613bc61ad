/** Faults of a stand-in: set by a function call, or over HTTP at `/control`. */
import type { z } from 'zod';

import {
  json,
  parseBody,
  type JsonRequest,
  type Reply,
} from './json-server.js';

/** Reads and changes the faults of a stand-in. */
export interface FaultControl<Faults> {
  readonly faults: () => Faults;
  /** Changes the faults that `patch` names and keeps the rest. */
  readonly set: (patch: Partial<Faults>) => void;
}

/** Path of the control endpoint of every stand-in. */
export const CONTROL_PATH = '/control';

/** Holds faults that start at `initial`; `changed` is called with each change. */
export function createFaultControl<Faults extends object>(
  initial: Faults,
  changed: (patch: Partial<Faults>) => void = () => undefined,
): FaultControl<Faults> {
  let current = initial;
  return {
    faults: () => current,
    set(patch) {
      current = { ...current, ...patch };
      changed(patch);
    },
  };
}

/** Some of the faults, as a schema with optional properties yields them. */
type FaultPatch<Faults> = {
  readonly [K in keyof Faults]?: Faults[K] | undefined;
};

/** Answers the control endpoint: GET reads the faults, POST changes some. */
export function handleControl<Faults extends object>(
  control: FaultControl<Faults>,
  schema: z.ZodType<FaultPatch<Faults>>,
  req: Pick<JsonRequest, 'method' | 'body'>,
): Reply {
  if (req.method === 'GET') {
    return json(200, control.faults());
  }
  const parsed = parseBody(schema, req.body);
  if ('error' in parsed) {
    return json(400, { error: parsed.error });
  }
  control.set(parsed.value);
  return json(200, control.faults());
}
