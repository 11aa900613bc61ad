/** Ports whose calls are counted and timed. */
import type { Clock } from '@paddlewind/domain';
import type { AdvicePort, JobLog, WorkerPort } from '@paddlewind/ports/jobs';

import type { Dependency, JobMeters } from './meters.js';

/** Times calls to one dependency. */
type Timed = <T extends { readonly kind: string }>(
  call: string,
  result: Promise<T>,
) => Promise<T>;

function timed(dependency: Dependency, meters: JobMeters, clock: Clock): Timed {
  return async (call, result) => {
    const sentAt = clock();
    const found = await result;
    meters.called(dependency, call, found.kind, clock() - sentAt);
    return found;
  };
}

/** Counts calls to the log. */
export function meterLog(log: JobLog, meters: JobMeters, clock: Clock): JobLog {
  const time = timed('log', meters, clock);
  return {
    append: (stream, records, stamp) =>
      time(`append ${stream}`, log.append(stream, records, stamp)),
    read: (stream, from, limits) => {
      // A read that waits tells nothing of how fast the log is.
      const call = limits.waitMs > 0 ? `wait ${stream}` : `read ${stream}`;
      return time(call, log.read(stream, from, limits));
    },
  };
}

/** Counts calls to workers. */
export function meterWorkers(
  port: WorkerPort,
  meters: JobMeters,
  clock: Clock,
): WorkerPort {
  const time = timed('worker', meters, clock);
  return {
    start: (worker, order) => time('start', port.start(worker, order)),
    stop: (worker, order) => time('stop', port.stop(worker, order)),
    throttle: (worker, order) => time('throttle', port.throttle(worker, order)),
    poll: (worker, order, takeLate) =>
      time('look', port.poll(worker, order, takeLate)),
    isConnected: worker => port.isConnected(worker),
    forget: worker => {
      port.forget(worker);
    },
  };
}

/** Counts calls to the advice service. */
export function meterAdvice(
  port: AdvicePort,
  meters: JobMeters,
  clock: Clock,
): AdvicePort {
  const time = timed('advice', meters, clock);
  return {
    ask: (step, workers, timeoutMs) =>
      time('ask', port.ask(step, workers, timeoutMs)),
  };
}
