/** A load of callers that each send the next request when the last is answered. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Client, type Dispatcher } from 'undici';

/** What callers send. */
export interface Workload {
  readonly name: string;
  readonly method: 'GET' | 'POST';
  readonly body: Buffer | null;
}

/** What a run measured. */
export interface LoadResult {
  readonly perSecond: number;
  readonly p50Us: number;
  readonly p99Us: number;
  readonly failed: number;
}

interface Run {
  readonly workload: Workload;
  readonly histogram: Histogram;
  readonly endsAt: number;
  done: number;
  failed: number;
}

/** Runs `callers` callers against a port for `ms` milliseconds. */
export async function runLoad(
  port: number,
  workload: Workload,
  callers: number,
  ms: number,
): Promise<LoadResult> {
  const startedAt = performance.now();
  const run: Run = {
    workload,
    histogram: build({ highestTrackableValue: 60_000_000 }),
    endsAt: startedAt + ms,
    done: 0,
    failed: 0,
  };
  const clients = Array.from(
    { length: callers },
    () => new Client(`http://127.0.0.1:${port}`),
  );
  await Promise.all(clients.map(client => callUntilEnd(client, run)));
  const seconds = (performance.now() - startedAt) / 1_000;
  await Promise.all(clients.map(client => client.close()));
  return {
    perSecond: run.done / seconds,
    p50Us: run.histogram.getValueAtPercentile(50),
    p99Us: run.histogram.getValueAtPercentile(99),
    failed: run.failed,
  };
}

function callUntilEnd(client: Client, run: Run): Promise<void> {
  return new Promise(resolve => {
    function next(): void {
      if (performance.now() >= run.endsAt) {
        resolve();
        return;
      }
      const sentAt = performance.now();
      call(client, run.workload, isWhole => {
        run.histogram.recordValue((performance.now() - sentAt) * 1_000);
        run.done++;
        run.failed += isWhole ? 0 : 1;
        next();
      });
    }
    next();
  });
}

function call(
  client: Client,
  { method, body }: Workload,
  done: (isWhole: boolean) => void,
): void {
  let status = 0;
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: () => undefined,
    onResponseStart(_, code) {
      status = code;
    },
    onResponseData: () => undefined,
    onResponseEnd() {
      done(status === 200);
    },
    onResponseError() {
      done(false);
    },
  };
  const headers = { host: 'web' };
  client.dispatch({ path: '/balance', method, headers, body }, handler);
}
