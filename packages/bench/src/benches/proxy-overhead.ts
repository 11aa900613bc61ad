/** What the router costs: against a direct connection and the plainest pass-through. */
import { startChild, type Child } from '../proxy/child.js';
import { runLoad, type LoadResult, type Workload } from '../proxy/load.js';
import { report } from '../report.js';

const BACKENDS = 2;
const CONNECTIONS = 16;
const CALLERS = 16;
const WARM_UP_MS = 1_000;
const RUN_MS = 1_500;
const DEFAULT_REPEATS = 5;

const WORKLOADS: readonly Workload[] = [
  { name: 'get', method: 'GET', body: null },
  { name: 'post-4k', method: 'POST', body: Buffer.alloc(4_096, 'b') },
];

const WAYS = ['direct', 'plain', 'router'] as const;
type Way = (typeof WAYS)[number];

interface Measured extends LoadResult {
  readonly cpuUsPerRequest: number;
}

/** Runs the benchmark; `--repeats N` rounds of all ways, interleaved. */
export async function run(args: readonly string[]): Promise<void> {
  const at = args.indexOf('--repeats');
  const repeats = at < 0 ? DEFAULT_REPEATS : Number(args[at + 1]);
  const backends = await Promise.all(
    Array.from({ length: BACKENDS }, () => startChild('./backend-child.js')),
  );
  const [first] = backends;
  if (first === undefined) {
    return;
  }
  const addresses = backends.map(({ port }) => `127.0.0.1:${port}`);
  const proxyArgs = [String(CONNECTIONS), ...addresses];
  const targets: Record<Way, Child> = {
    direct: first,
    plain: await startChild('./plain-child.js', proxyArgs),
    router: await startChild('./router-child.js', proxyArgs),
  };
  for (const workload of WORKLOADS) {
    await compare(targets, workload, repeats);
  }
  for (const child of [...backends, targets.plain, targets.router]) {
    child.stop();
  }
}

async function compare(
  targets: Record<Way, Child>,
  workload: Workload,
  repeats: number,
): Promise<void> {
  const rounds: Record<Way, Measured>[] = [];
  for (const way of WAYS) {
    await runLoad(targets[way].port, workload, CALLERS, WARM_UP_MS);
  }
  for (let round = 0; round < repeats; round++) {
    rounds.push({
      direct: await measure(targets.direct, workload),
      plain: await measure(targets.plain, workload),
      router: await measure(targets.router, workload),
    });
  }
  reportRatios(workload, rounds);
  for (const way of WAYS) {
    reportWay(
      workload,
      way,
      rounds.map(round => round[way]),
    );
  }
}

async function measure(child: Child, workload: Workload): Promise<Measured> {
  const before = await child.cpuMs();
  const result = await runLoad(child.port, workload, CALLERS, RUN_MS);
  const cpuMs = (await child.cpuMs()) - before;
  const requests = result.perSecond * (RUN_MS / 1_000);
  return { ...result, cpuUsPerRequest: (cpuMs * 1_000) / requests };
}

function reportRatios(
  workload: Workload,
  rounds: readonly Record<Way, Measured>[],
): void {
  function ratio(of: (measured: Measured) => number): number[] {
    return rounds.map(({ plain, router }) => of(router) / of(plain));
  }
  const throughput = ratio(m => m.perSecond);
  const p99 = ratio(m => m.p99Us);
  report({
    bench: 'proxy-overhead',
    workload: workload.name,
    rounds: rounds.length,
    throughputOfPlain: median(throughput),
    throughputOfPlainLeast: round3(Math.min(...throughput)),
    throughputOfPlainMost: round3(Math.max(...throughput)),
    p99OfPlain: median(p99),
    p99OfPlainLeast: round3(Math.min(...p99)),
    p99OfPlainMost: round3(Math.max(...p99)),
    cpuOfPlain: median(ratio(m => m.cpuUsPerRequest)),
  });
}

function reportWay(
  workload: Workload,
  way: Way,
  measured: readonly Measured[],
): void {
  report({
    bench: 'proxy-overhead',
    workload: workload.name,
    way,
    perSecond: median(measured.map(m => m.perSecond)),
    p50Us: median(measured.map(m => m.p50Us)),
    p99Us: median(measured.map(m => m.p99Us)),
    cpuUsPerRequest: median(measured.map(m => m.cpuUsPerRequest)),
    failed: measured.reduce((sum, m) => sum + m.failed, 0),
  });
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return round3(sorted[Math.floor(sorted.length / 2)] ?? 0);
}

function round3(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
