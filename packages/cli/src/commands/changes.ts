/** Computes the changes that turn the configuration in force into the declared one. */
import {
  appError,
  diffObjects,
  objectKey,
  objectSchema,
  parseJson,
  type AppError,
  type ConfigState,
  type ObjectDifference,
  type ObjectKey,
  type VersionedObject,
} from '@paddlewind/domain';
import type { GetResponse } from '@paddlewind/protocol';
import { Result } from 'true-myth';

import type { CommandContext } from '../command.js';
import { readTree } from '../declarations/read.js';

/** Reads the declarations at the first operand and compares them with the configuration in force. */
export async function planChanges(
  ctx: CommandContext,
  command: string,
): Promise<Result<ObjectDifference[], AppError[]>> {
  const [path] = ctx.args;
  if (path === undefined) {
    return Result.err([
      appError('invalid', `usage: paddlewind ${command} PATH`),
    ]);
  }
  const tree = await readTree(path);
  if (tree.isErr) {
    return Result.err(tree.error);
  }
  const inForce = await ctx.operators.call(client => client.get({}));
  if (inForce.isErr) {
    return Result.err([inForce.error]);
  }
  const state = readState(inForce.value);
  const undeclared = ctx.flags.prune ? 'delete' : 'keep';
  return state
    .map(current => diffObjects(current, tree.value.objects, undeclared))
    .mapErr(err => [err]);
}

function readState(answer: GetResponse): Result<ConfigState, AppError> {
  const objects = new Map<ObjectKey, VersionedObject>();
  for (const { kind, name, version, declarationJson } of answer.objects) {
    const parsed = objectSchema.safeParse(parseJson(declarationJson));
    if (!parsed.success) {
      const message = `${kind}/${name} is of a newer format than this program knows.`;
      return Result.err(appError('unsupported_record', message));
    }
    const key = objectKey(parsed.data.kind, parsed.data.name);
    objects.set(key, { object: parsed.data, version: Number(version) });
  }
  return Result.ok({ offset: Number(answer.offset), objects });
}

/** Formats changes for people: a line for each object and each updated field. */
export function describeChanges(changes: readonly ObjectDifference[]): string {
  if (changes.length === 0) {
    return 'no difference';
  }
  return changes.flatMap(changeLines).join('\n');
}

function changeLines({ action, key, fields }: ObjectDifference): string[] {
  const line = `${action} ${key}`;
  if (action !== 'update') {
    return [line];
  }
  const details = fields.map(({ path, before, after }) => {
    return `  ${path}: ${formatValue(before)} -> ${formatValue(after)}`;
  });
  return [line, ...details];
}

function formatValue(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

/** Returns the changes without their declarations, for `--json`. */
export function summarize(changes: readonly ObjectDifference[]) {
  return changes.map(({ action, change, fields }) => ({
    action,
    kind: change.kind,
    name: change.name,
    fields: action === 'update' ? fields : [],
  }));
}
