/** The changes that turn the configuration in force into a declared one. */
import {
  appError,
  objectKey,
  type AppError,
  type ConfigObject,
} from '@paddlewind/domain';
import type { GetResponse } from '@paddlewind/protocol';
import { Result } from 'true-myth';

import type { CommandContext } from '../command.js';
import { readTree } from '../declarations/read.js';

/** One difference between what is declared and what is in force. */
export interface PlannedChange {
  readonly action: 'create' | 'update' | 'delete';
  readonly kind: string;
  readonly name: string;
  readonly baseVersion: bigint;
  /** Empty for a deletion. */
  readonly declarationJson: string;
}

/** Reads the tree named by the first operand and compares it with the configuration in force. */
export async function planChanges(
  ctx: CommandContext,
  command: string,
): Promise<Result<PlannedChange[], AppError[]>> {
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
  const objects = tree.value.objects.map(entry => entry.object);
  return Result.ok(compare(objects, inForce.value, ctx.flags.prune));
}

/** Compares declared objects with those in force; deletes what is not declared when `prune`. */
export function compare(
  declared: readonly ConfigObject[],
  inForce: Pick<GetResponse, 'objects'>,
  prune: boolean,
): PlannedChange[] {
  const current = new Map(
    inForce.objects.map(object => [`${object.kind}/${object.name}`, object]),
  );
  const changes: PlannedChange[] = [];
  for (const object of declared) {
    const key = objectKey(object.kind, object.name);
    const existing = current.get(key);
    current.delete(key);
    const declarationJson = JSON.stringify(object);
    if (
      existing !== undefined &&
      sameJson(existing.declarationJson, declarationJson)
    ) {
      continue;
    }
    changes.push({
      action: existing === undefined ? 'create' : 'update',
      kind: object.kind,
      name: object.name,
      baseVersion: existing?.version ?? 0n,
      declarationJson,
    });
  }
  if (prune) {
    for (const { kind, name, version } of current.values()) {
      changes.push({
        action: 'delete',
        kind,
        name,
        baseVersion: version,
        declarationJson: '',
      });
    }
  }
  return changes;
}

function sameJson(a: string, b: string): boolean {
  return canonical(JSON.parse(a)) === canonical(JSON.parse(b));
}

function canonical(value: unknown): string {
  return JSON.stringify(value, (_, item: unknown) => {
    if (typeof item !== 'object' || item === null || Array.isArray(item)) {
      return item;
    }
    return Object.fromEntries(
      Object.entries(item).sort(([a], [b]) => (a < b ? -1 : 1)),
    );
  });
}

/** Describes changes for a person, one line each. */
export function describeChanges(changes: readonly PlannedChange[]): string {
  if (changes.length === 0) {
    return 'no difference';
  }
  return changes
    .map(change => `${change.action} ${change.kind}/${change.name}`)
    .join('\n');
}

/** The changes without their declarations, for `--json`. */
export function summarize(changes: readonly PlannedChange[]) {
  return changes.map(({ action, kind, name }) => ({ action, kind, name }));
}
