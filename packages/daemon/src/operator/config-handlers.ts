/** Operators' calls on the configuration. */
import { randomUUID } from 'node:crypto';

import type { HandlerContext } from '@connectrpc/connect';
import {
  appError,
  objectKey,
  parseJson,
  type AppError,
} from '@paddlewind/domain';
import type {
  ApplyRequest,
  ConfigChange,
  DrainRequest,
  GetRequest,
  WaitInForceRequest,
} from '@paddlewind/protocol';
import { Result } from 'true-myth';

import { unwrap } from './connect-error.js';
import { callDeadline } from './deadline.js';
import type { OperatorChange, OperatorDeps } from './deps.js';

/** Publishes a change set and answers with the verdict on it. */
export async function applyHandler(
  deps: OperatorDeps,
  req: ApplyRequest,
  ctx: HandlerContext,
) {
  const changes = unwrap(readChanges(req));
  const deadline = callDeadline(ctx, deps.clock());
  const offset = unwrap(await deps.config.apply(req.id, changes, deadline));
  return { offset: BigInt(offset) };
}

function readChanges(req: ApplyRequest): Result<OperatorChange[], AppError> {
  if (req.id === '' || req.changes.length === 0) {
    return Result.err(
      appError('invalid', 'A change set needs an id and at least one change.'),
    );
  }
  const changes: OperatorChange[] = [];
  for (const [i, change] of req.changes.entries()) {
    const read = readChange(change, `changes[${i}]`);
    if (read.isErr) {
      return Result.err(read.error);
    }
    changes.push(read.value);
  }
  return Result.ok(changes);
}

function readChange(
  change: ConfigChange,
  path: string,
): Result<OperatorChange, AppError> {
  const { kind, name } = change;
  const baseVersion = Number(change.baseVersion);
  if (change.declarationJson === '') {
    return Result.ok({ kind, name, baseVersion, declaration: null });
  }
  const declaration = parseJson(change.declarationJson);
  if (declaration === undefined) {
    return Result.err(
      appError('invalid', `${path}.declaration_json is not JSON.`, { path }),
    );
  }
  return Result.ok({ kind, name, baseVersion, declaration });
}

/** Answers with the objects in force, of one kind or name when asked for. */
export function getHandler(deps: OperatorDeps, req: GetRequest) {
  const state = deps.config.current();
  const objects = [...state.objects.values()]
    .filter(({ object }) => req.kind === '' || object.kind === req.kind)
    .filter(({ object }) => req.name === '' || object.name === req.name)
    .map(({ object, version }) => ({
      kind: object.kind,
      name: object.name,
      version: BigInt(version),
      declarationJson: JSON.stringify(object),
    }));
  return { offset: BigInt(state.offset), objects };
}

/** Waits until every live entry host has the offset in force. */
export async function waitHandler(deps: OperatorDeps, req: WaitInForceRequest) {
  const deadline = deps.clock() + req.timeoutMs;
  const waitingFor = await deps.config.waitInForce(
    Number(req.offset),
    deadline,
  );
  return { inForce: waitingFor.length === 0, waitingFor: [...waitingFor] };
}

/** Publishes a worker's administrative state on the version in force. */
export async function drainHandler(
  deps: OperatorDeps,
  req: DrainRequest,
  ctx: HandlerContext,
) {
  const key = objectKey('worker', req.worker);
  const current = deps.config.current().objects.get(key);
  const change: OperatorChange = {
    kind: 'worker',
    name: req.worker,
    baseVersion: current?.version ?? 0,
    declaration: { kind: 'worker', name: req.worker, drained: !req.undo },
  };
  const deadline = callDeadline(ctx, deps.clock());
  const offset = unwrap(
    await deps.config.apply(randomUUID(), [change], deadline),
  );
  return { offset: BigInt(offset) };
}
