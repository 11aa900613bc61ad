/** The operators' service: its handlers over the other parts. */
import type { ConnectRouter, HandlerContext } from '@connectrpc/connect';
import { appError } from '@paddlewind/domain';
import { OperatorService } from '@paddlewind/protocol';

import {
  applyHandler,
  drainHandler,
  getHandler,
  waitHandler,
} from './config-handlers.js';
import { toConnectError } from './connect-error.js';
import type { OperatorDeps } from './deps.js';
import { burnHandler, topHandler } from './fleet-handlers.js';
import {
  cancelHandler,
  releaseHandler,
  statusHandler,
  submitHandler,
} from './job-handlers.js';

/** Registers the operators' calls on `router`. */
export function registerOperatorService(
  router: ConnectRouter,
  deps: OperatorDeps,
): void {
  const guarded =
    <Req, Res>(
      handle: (deps: OperatorDeps, req: Req, ctx: HandlerContext) => Res,
    ) =>
    (req: Req, ctx: HandlerContext): Res => {
      refuseUnlessReady(deps);
      return handle(deps, req, ctx);
    };
  router.service(OperatorService, {
    apply: guarded(applyHandler),
    get: guarded(getHandler),
    waitInForce: guarded(waitHandler),
    submitJob: guarded(submitHandler),
    cancelJob: guarded(cancelHandler),
    releaseJob: guarded(releaseHandler),
    jobStatus: guarded(statusHandler),
    drain: guarded(drainHandler),
    top: () => topHandler(deps),
    burn: req => burnHandler(deps, req),
  });
}

function refuseUnlessReady(deps: OperatorDeps): void {
  const reasons = deps.notReady();
  if (reasons.length > 0) {
    throw toConnectError(
      appError(
        'not_ready',
        `This entry host is not ready: ${reasons.join('; ')}.`,
      ),
    );
  }
}
