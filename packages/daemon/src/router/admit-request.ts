/** Checks a caller's request and hands it to the router of its service. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import {
  appError,
  type AppError,
  type Clock,
  type Instant,
  type RequestInfo,
} from '@paddlewind/domain';

import {
  EARLIER_STATUS_HEADER,
  type IdempotencyKeys,
  type KeyRefusal,
} from './idempotency-keys.js';
import { sendRefusal } from './refusal.js';
import {
  bufferBody,
  isBuffered,
  streamBody,
  type RequestBody,
} from './request-body.js';
import {
  DEADLINE_HEADER,
  readRequestHead,
  type RequestHead,
} from './request-head.js';
import type { ServiceRouter } from './service-router.js';
import type { Services } from './services.js';
import type { RouterLimits } from './settings.js';

/** A request as it came in, and what is needed to route it. */
export interface Admission {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly services: Pick<Services, 'find'>;
  readonly limits: RouterLimits;
  readonly clock: Clock;
  readonly unixClock: () => number;
  readonly keys: Pick<IdempotencyKeys, 'claim'>;
}

let lastId = 0;

/** Routes a request or refuses it. */
export function admitRequest(admission: Admission): void {
  const { req, res, services, limits } = admission;
  const head = readRequestHead(req, limits.maxHeaderCount);
  if (head.isErr) {
    sendRefusal(res, head.error);
    return;
  }
  const router = services.find(head.value.host, head.value.path);
  if (router === undefined) {
    sendRefusal(res, appError('not_found', 'No service has this route.'));
    return;
  }
  const problem = bodyProblem(head.value, router);
  if (problem !== undefined) {
    sendRefusal(res, problem);
    return;
  }
  admitTo(router, admission, head.value);
}

function bodyProblem(
  head: RequestHead,
  router: ServiceRouter,
): AppError | undefined {
  const { framing } = head;
  const { maxBodyBytes } = router.service.route;
  return framing.kind === 'length' && framing.length > maxBodyBytes
    ? tooLarge(maxBodyBytes)
    : undefined;
}

function admitTo(
  router: ServiceRouter,
  admission: Admission,
  head: RequestHead,
): void {
  const { res, clock, unixClock } = admission;
  const { route } = router.service;
  const startedAt = clock();
  const wanted =
    head.deadlineUnixMs === undefined
      ? Infinity
      : startedAt + (head.deadlineUnixMs - unixClock());
  const deadline = Math.min(startedAt + route.timeoutMs, wanted);
  if (deadline <= startedAt) {
    sendRefusal(res, appError('deadline_unmet', 'The deadline has passed.'));
    return;
  }
  const idempotent = (route.idempotentMethods as string[]).includes(
    head.method,
  );
  const deadlineUnixMs = Math.floor(unixClock() + deadline - startedAt);
  head.headers.push(DEADLINE_HEADER, String(deadlineUnixMs));
  const info = { id: ++lastId, deadline, idempotent };
  const accepted: Accepted = { admission, router, head, info, startedAt };
  withBody(accepted, body => {
    if (route.idempotencyKeys && !idempotent && head.idempotencyKey) {
      void claimKey(accepted, head.idempotencyKey, body);
    } else {
      router.handle({ res: admission.res, head, body, info, startedAt });
    }
  });
}

/** A request with a service, before its body is known. */
interface Accepted {
  readonly admission: Admission;
  readonly router: ServiceRouter;
  readonly head: RequestHead;
  readonly info: RequestInfo;
  readonly startedAt: Instant;
}

function withBody(
  accepted: Accepted,
  handle: (body: RequestBody) => void,
): void {
  const { admission, router, head, info, startedAt } = accepted;
  const { req, limits } = admission;
  const { maxBodyBytes } = router.service.route;
  const whole = isBuffered(head.framing, limits.bufferedBodyBytes);
  function stop(error: AppError): void {
    router.stopOne(info.id, error);
  }
  if (head.framing.kind === 'none') {
    handle({ kind: 'none' });
  } else if (whole && !head.expectsContinue) {
    const left = info.deadline - startedAt;
    awaitBody(admission, Math.min(left, limits.bodyIdleTimeoutMs), handle);
  } else {
    const body = streamBody(req, head.framing, {
      maxBytes: maxBodyBytes,
      idleTimeoutMs: limits.bodyIdleTimeoutMs,
      onTooLong() {
        stop(tooLarge(maxBodyBytes));
      },
      onIdle() {
        stop(appError('timeout', 'The body came too slowly.'));
      },
    });
    handle(body);
  }
}

/** Sends the request only if its idempotency key is free, and records how it ended. */
async function claimKey(
  accepted: Accepted,
  key: string,
  body: RequestBody,
): Promise<void> {
  const { admission, router, head, info, startedAt } = accepted;
  const { res, keys } = admission;
  const claimed = await keys.claim({
    service: router.service.name,
    key,
    requestHash: hashOf(head, body),
    deadline: info.deadline,
  });
  if (claimed.isErr) {
    refuseKey(res, claimed.error);
    return;
  }
  const hold = claimed.value;
  if (res.destroyed) {
    hold.notSent();
    return;
  }
  router.handle({ res, head, body, info, startedAt }, (end, sent) => {
    if (end.kind === 'answered') {
      hold.answered(end.status);
    } else if (!sent) {
      hold.notSent();
    }
  });
}

function refuseKey(res: ServerResponse, refusal: KeyRefusal): void {
  const { error, earlierStatus } = refusal;
  if (!res.destroyed) {
    const told =
      earlierStatus === undefined
        ? []
        : [EARLIER_STATUS_HEADER, String(earlierStatus)];
    sendRefusal(res, error, told);
  }
}

/** Hashes what a request asks for, as far as it is known before it is sent. */
function hashOf(head: RequestHead, body: RequestBody): string {
  const hash = createHash('sha256');
  hash.update(`${head.method} ${head.path}\n`);
  if (body.kind === 'buffered') {
    hash.update(body.bytes);
  }
  return hash.digest('base64url');
}

/** Reads a small body whole before a server is chosen, so that a slow caller holds no slot. */
function awaitBody(
  admission: Admission,
  timeoutMs: number,
  handle: (body: RequestBody) => void,
): void {
  const { req, res } = admission;
  const timer = setTimeout(() => {
    sendRefusal(res, appError('deadline_unmet', 'The body came too slowly.'));
  }, timeoutMs);
  req.once('close', () => {
    clearTimeout(timer);
  });
  bufferBody(req, bytes => {
    clearTimeout(timer);
    if (!res.headersSent && !res.destroyed) {
      handle({ kind: 'buffered', bytes });
    }
  });
}

function tooLarge(maxBytes: number): AppError {
  return appError('too_large', `The body is larger than ${maxBytes} bytes.`);
}
