/** The contender that knows the matrix, the load and the use of every task at once. */
import type { Contender } from './contender.js';
import {
  BUDGET,
  levelAlone,
  loadOn,
  missShare,
  slowdownAt,
  usedCores,
  type Fleet,
  type FleetWorker,
  type QueuedTask,
  type RunningTask,
} from './fleet.js';
import { CLASSES } from './scenario.js';

/** Part of the error budget that it spends. */
const SPEND = 0.95;

const LEAST_SHARE = 0.1;
const CUT = 0.3;

/** Value of an empty worker against harm, so that equal harm spreads the work. */
const SPREAD = 0.1;

interface Cell {
  readonly worker: FleetWorker;
  readonly service: number;
  readonly load: number;
  readonly alone: number;
  misses: number;
}

/** The truth of one instant. */
interface Truth {
  readonly fleet: Fleet;
  readonly cells: readonly Cell[];
  /** Shares of processors in use, by worker and class. */
  readonly shares: readonly Float64Array[];
}

/** Builds the contender that knows. */
export function knowing(fleet: Fleet): Contender {
  return {
    name: 'knows_the_matrix',
    sees: false,
    see: () => undefined,
    act: () => {
      plan(fleet);
    },
    choose: (task, rooms) => leastHarm(fleet, task, rooms),
  };
}

function leastHarm(
  fleet: Fleet,
  task: QueuedTask,
  rooms: readonly FleetWorker[],
): FleetWorker | undefined {
  const { batchClass, cores } = task.spec;
  let best: FleetWorker | undefined;
  let least = Infinity;
  for (const worker of rooms) {
    let harm = 0;
    for (const service of worker.services) {
      const slowdown = fleet.slowdowns[service]?.[batchClass] ?? 0;
      const load = loadOn(fleet, service, worker);
      harm += slowdown * load * (cores / worker.cores);
    }
    const cost = harm - (SPREAD * worker.free) / worker.cores;
    if (cost < least) {
      best = worker;
      least = cost;
    }
  }
  return best;
}

/** Starts from no throttling and cuts where it saves most, until the budgets are kept. */
function plan(fleet: Fleet): void {
  for (const worker of fleet.workers) {
    for (const task of worker.tasks) {
      task.share = 1;
    }
  }
  const truth = look(fleet);
  const worth = new Map<RunningTask, number>();
  for (;;) {
    const over = fleet.scenario.services.flatMap((_, service) =>
      spent(truth, service) > SPEND ? [service] : [],
    );
    const best = over.length === 0 ? undefined : bestCut(truth, over, worth);
    if (best === undefined) {
      return;
    }
    setShare(truth, best, Math.max(LEAST_SHARE, best.share - CUT));
    for (const task of best.worker.tasks) {
      worth.delete(task);
    }
  }
}

function look(fleet: Fleet): Truth {
  const shares = fleet.workers.map(worker => {
    const own = new Float64Array(CLASSES);
    for (const task of worker.tasks) {
      addUse(own, task, usedCores(task) / worker.cores);
    }
    return own;
  });
  const cells = fleet.workers.flatMap(worker =>
    worker.services.map((service): Cell => {
      const load = loadOn(fleet, service, worker);
      const alone = levelAlone(fleet, service, worker, load);
      return { worker, service, load, alone, misses: 0 };
    }),
  );
  const truth = { fleet, cells, shares };
  for (const cell of cells) {
    cell.misses = missesOf(truth, cell);
  }
  return truth;
}

function missesOf(truth: Truth, cell: Cell): number {
  const service = truth.fleet.scenario.services[cell.service];
  const own = truth.shares[cell.worker.index];
  if (service === undefined || own === undefined) {
    return 0;
  }
  const slow = slowdownAt(truth.fleet, cell.service, own, cell.load);
  return cell.load * missShare(service, cell.alone + slow);
}

function spent(truth: Truth, service: number): number {
  let misses = 0;
  let requests = 0;
  for (const cell of truth.cells) {
    if (cell.service === service) {
      misses += cell.misses;
      requests += cell.load;
    }
  }
  return requests === 0 ? 0 : misses / requests / BUDGET;
}

/** Misses that a change of a task's share would save, over the services given. */
function saving(
  truth: Truth,
  task: RunningTask,
  share: number,
  services: readonly number[],
): number {
  const own = truth.shares[task.worker.index];
  const change = shareChange(task, share);
  addUse(own, task, change);
  let saved = 0;
  for (const cell of truth.cells) {
    if (cell.worker === task.worker && services.includes(cell.service)) {
      saved += cell.misses - missesOf(truth, cell);
    }
  }
  addUse(own, task, -change);
  return saved;
}

function setShare(truth: Truth, task: RunningTask, share: number): void {
  const own = truth.shares[task.worker.index];
  addUse(own, task, shareChange(task, share));
  task.share = share;
  for (const cell of truth.cells) {
    if (cell.worker === task.worker) {
      cell.misses = missesOf(truth, cell);
    }
  }
}

function bestCut(
  truth: Truth,
  over: readonly number[],
  worth: Map<RunningTask, number>,
): RunningTask | undefined {
  let best: RunningTask | undefined;
  let bestWorth = 1e-9;
  for (const worker of truth.fleet.workers) {
    for (const task of worker.tasks) {
      if (task.share <= LEAST_SHARE) {
        continue;
      }
      let value = worth.get(task);
      if (value === undefined) {
        const share = Math.max(LEAST_SHARE, task.share - CUT);
        const cost = task.spec.declaredCores * (task.share - share);
        value = saving(truth, task, share, over) / cost;
        worth.set(task, value);
      }
      if (value > bestWorth) {
        best = task;
        bestWorth = value;
      }
    }
  }
  return best;
}

function addUse(
  shares: Float64Array | undefined,
  task: RunningTask,
  change: number,
): void {
  if (shares !== undefined) {
    const at = task.spec.batchClass;
    shares[at] = Math.max(0, (shares[at] ?? 0) + change);
  }
}

function shareChange(task: RunningTask, share: number): number {
  const used = usedCores(task) / task.worker.cores;
  return (used * (share - task.share)) / task.share;
}
