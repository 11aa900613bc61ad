/** Wrappers of ports that count and time their calls. */
import type { Clock } from '@paddlewind/domain';
import type { AdvicePort, JobLog, WorkerPort } from '@paddlewind/ports/jobs';

import type { Dependency, JobMeters } from './meters.js';

/** Times calls to one dependency. */
type TimeCall = <T extends { readonly kind: string }>(
  call: string,
  result: Promise<T>,
) => Promise<T>;

function callTimer(
  dependency: Dependency,
  meters: JobMeters,
  clock: Clock,
): TimeCall {
  return async (call, result) => {
    const sentAt = clock();
    const found = await result;
    meters.called(dependency, call, found.kind, clock() - sentAt);
    return found;
  };
}

/** Wraps the log with metrics. */
export function meterLog(log: JobLog, meters: JobMeters, clock: Clock): JobLog {
  const time = callTimer('log', meters, clock);
  return {
    append: (stream, records, stamp) =>
      time(`append ${stream}`, log.append(stream, records, stamp)),
    read: (stream, from, limits) => {
      // A long-polling read says nothing about the speed of the log.
      const call = limits.waitMs > 0 ? `wait ${stream}` : `read ${stream}`;
      return time(call, log.read(stream, from, limits));
    },
  };
}

/** Wraps the worker port with metrics. */
export function meterWorkers(
  port: WorkerPort,
  meters: JobMeters,
  clock: Clock,
): WorkerPort {
  const time = callTimer('worker', meters, clock);
  return {
    start: (worker, order) => time('start', port.start(worker, order)),
    stop: (worker, order) => time('stop', port.stop(worker, order)),
    throttle: (worker, order) => time('throttle', port.throttle(worker, order)),
    poll: (worker, order, takeLate) =>
      time('look', port.poll(worker, order, takeLate)),
    isConnected: worker => port.isConnected(worker),
    disconnect: worker => {
      port.disconnect(worker);
    },
  };
}

/** Wraps the advice service with metrics. */
export function meterAdvice(
  port: AdvicePort,
  meters: JobMeters,
  clock: Clock,
): AdvicePort {
  const time = callTimer('advice', meters, clock);
  return {
    ask: (step, workers, timeoutMs) =>
      time('ask', port.ask(step, workers, timeoutMs)),
  };
}
