/**
 * Random jobs under random troubles, with real hosts: node random-jobs.mjs SEED FOLDER [KIND,KIND...]. Writes
 * record.txt into FOLDER; exits with 1 if a check failed. Times are real, so that a seed gives the same kinds of jobs
 * and troubles, not the same play.
 */
import { mkdirSync } from 'node:fs';

import { BOUNDS, Deployment } from '../stand-ins-2/deployment.mjs';
import { sleep } from '../stand-ins-2/record.mjs';
import { Worker } from '../stand-ins-2/worker.mjs';

const KINDS =
  'kill,term,freeze,killall,wcut,wcrash,store,lateappend,lateorder,hoststore,hoststore';
const seed = Number(process.argv[2]);
const folder = process.argv[3];
const kinds = (process.argv[4] ?? KINDS).split(',');
let state = (seed * 2654435761) % 2 ** 32;
const rnd = () => {
  state = (state * 1664525 + 1013904223) % 2 ** 32;
  return state / 2 ** 32;
};
const pick = list => list[Math.floor(rnd() * list.length)];
mkdirSync(folder, { recursive: true });
const d = new Deployment(folder, { keepS: 300 });
const { record } = d;
process.on('exit', () => d.killAll());

// Gangs: their members work from the moment when all of them are present, and end together.
const gangs = new Map();
const { startRun, end } = Worker.prototype;
Worker.prototype.startRun = function (order) {
  const script = JSON.parse(order.spec);
  const isKnown = this.active.get(order.task)?.number === order.runNumber;
  if (!script.gang || isKnown) {
    return startRun.call(this, order);
  }
  const spec = JSON.stringify({ ...script, lasting: true });
  const res = startRun.call(this, { ...order, spec });
  const run = this.active.get(order.task);
  if (res.status === 200 && run?.number === order.runNumber) {
    const [id, k, step] = order.task.split('.');
    const key = `${id}.${k}.${step}#${order.runNumber}`;
    const gang = gangs.get(key) ?? { members: [], size: script.gang };
    gangs.set(key, gang);
    run.gangKey = key;
    gang.members.push([this, run]);
    run.alone = setTimeout(() => {
      if (gang.members.length < gang.size) {
        this.end(run, 'alone');
      }
    }, BOUNDS.gangMs);
    if (gang.members.length === gang.size) {
      gang.timer = setTimeout(() => {
        const fails = script.failRuns >= order.runNumber;
        gang.members.forEach(([worker, member], at) => {
          const failed = at === 0 ? 'failed' : 'broken';
          worker.end(member, fails ? failed : 'done');
        });
      }, script.runMs);
    }
  }
  return res;
};
Worker.prototype.end = function (run, how) {
  if (this.active.get(run.task) !== run) {
    return;
  }
  end.call(this, run, how);
  if (how !== 'done') {
    breakGang(run);
  }
};
function breakGang(run) {
  const gang = gangs.get(run.gangKey);
  if (gang !== undefined && !gang.broken) {
    gang.broken = true;
    clearTimeout(gang.timer);
    gang.members
      .filter(([, member]) => member !== run)
      .forEach(([worker, member]) => worker.end(member, 'broken'));
  }
}

// Checks.
let brokenCount = 0;
const broken = text => {
  brokenCount += 1;
  record.write(`BROKEN: ${text}`);
};
const tasks = new Map();
const jobs = new Map();
const infoOf = task => {
  if (!tasks.has(task)) {
    tasks.set(task, { runs: new Map(), failures: 0 });
  }
  return tasks.get(task);
};
let lastTrouble = -99;
function onStart(run, worker) {
  const [id, k, step] = run.task.split('.');
  const job = jobs.get(id);
  const info = infoOf(run.task);
  if (job === undefined) {
    broken(`UNASKED ${run.task}`);
    return;
  }
  if (info.noted) {
    broken(`TWICE ${run.task} run ${run.number} after done`);
  }
  if (info.done !== undefined && !info.noted) {
    info.again = run.number;
  }
  const others = [...info.runs.values()].filter(
    each =>
      each.worker.active.get(run.task) === each.run && each.worker.up !== false,
  );
  if (others.length > 0) {
    broken(`TWICE ${run.task} run ${run.number} beside another`);
  }
  info.runs.set(run.number, { run, worker });
  for (const before of job.phases[step].dependsOn ?? []) {
    const { count, gang } = job.phases[before];
    const names = Array.from(
      { length: count },
      (_, at) => `${id}.${k}.${before}.${at}`,
    );
    const isDone = name => infoOf(name).done !== undefined;
    if (gang ? !names.some(isDone) : !names.every(isDone)) {
      broken(`ORDER ${run.task}`);
    }
  }
  if (
    job.firstRunMs &&
    Date.now() < job.firstRunMs + k * job.intervalMs - BOUNDS.early_ms
  ) {
    broken(`ORDER ${run.task} early`);
  }
  if (info.failures >= 3) {
    broken(`BUDGET ${run.task} run ${run.number}`);
  }
  if (
    job.cancelAck !== undefined &&
    record.now() > job.cancelAck + BOUNDS.cancel_ms / 1000 &&
    d.isLeaderInTouch()
  ) {
    broken(`UNASKED ${run.task} run ${run.number} after its cancelling`);
  }
  const used = [...worker.active.keys()].reduce((sum, task) => {
    const [owner, , at] = task.split('.');
    return sum + jobs.get(owner).phases[at].cpu;
  }, 0);
  if (used > worker.cpu) {
    broken(`LIMIT ${worker.name} ${used}`);
  }
}
const options = {
  cpu: 8_000,
  onStart,
  onEnd: (run, how) => {
    if (how === 'done') {
      infoOf(run.task).done = run.number;
    }
    if (how === 'alone' && record.now() - lastTrouble > 8) {
      broken(`GANG ${run.task} alone`);
    }
  },
  onAcknowledged: ({ task }, how) => {
    const info = infoOf(task);
    if (how === 'done') {
      info.noted = true;
      if (info.again !== undefined) {
        broken(`TWICE ${task} run ${info.again} after done`);
      }
    }
    info.failures += Number(how === 'failed');
  },
};

function drawJob() {
  const kind = pick([
    'plain',
    'plain',
    'chain',
    'gang',
    'timed',
    'fail',
    'lasting',
    'hopeless',
    'speculative',
  ]);
  const runMs = pick([50, 200, 600, 1500]);
  const phase = (count, extra = {}) => ({
    count,
    cpu: pick([500, 1000, 2000]),
    memMb: 10,
    estimateMs: runMs,
    ...extra,
  });
  const spec = extra => JSON.stringify({ runMs, ...extra });
  switch (kind) {
    case 'plain':
      return { kind, spec: spec(), phases: [phase(1 + Math.floor(rnd() * 6))] };
    case 'chain':
      return {
        kind,
        spec: spec(),
        phases: [
          phase(3),
          phase(2, { dependsOn: [0] }),
          phase(2, { dependsOn: [0, 1] }),
        ],
      };
    case 'gang': {
      const gang = 2 + Math.floor(rnd() * 4);
      const failRuns = rnd() < 0.2 ? 1 : 0;
      return {
        kind,
        spec: spec({ gang, failRuns }),
        phases: [phase(gang, { gang: true })],
      };
    }
    case 'timed':
      return {
        kind,
        spec: spec(),
        phases: [phase(2)],
        repetitions: 6,
        firstRunMs: Date.now() + 500,
        intervalMs: pick([400, 800, 1500]),
      };
    case 'lasting':
      return {
        kind,
        spec: JSON.stringify({ lasting: true }),
        phases: [phase(2, { longRunning: true })],
        cancelAfterS: 3 + rnd() * 15,
      };
    case 'hopeless':
      return { kind, spec: spec({ how: 'failed' }), phases: [phase(1)] };
    case 'fail':
      return { kind, spec: spec(), phases: [phase(2)] };
    default:
      return {
        kind: 'plain',
        spec: spec(),
        phases: [phase(2)],
        cancelAfterS: rnd() * 2,
      };
  }
}

async function handIn(job, { cancelAfterS, body }) {
  const first = Math.floor(rnd() * 3);
  const { status } = await d.submit(job.path, body, { first, quiet: true });
  job.accepted = status === 200;
  if (cancelAfterS !== undefined && job.accepted) {
    await sleep(cancelAfterS * 1000);
    const by = Math.floor(rnd() * 3);
    const res = await d.attempt('DELETE', job.path, undefined, {
      quiet: true,
      first: by,
    });
    if (res.status === 200) {
      job.cancelAck = record.now();
      job.cancelled = true;
      record.write(`cancel of ${job.id} acknowledged`);
    }
  }
}

async function trouble(kind, host) {
  switch (kind) {
    case 'kill':
      host.signal('SIGKILL');
      await host.exited;
      await sleep(rnd() * 2000);
      host.start();
      return;
    case 'term':
      await host.terminate();
      await sleep(500);
      host.start();
      return;
    case 'freeze':
      host.signal('SIGSTOP');
      await sleep(1000 + rnd() * 3000);
      host.signal('SIGCONT');
      return;
    case 'killall':
      d.hosts.forEach(each => each.signal('SIGKILL'));
      await Promise.all(d.hosts.map(each => each.exited));
      await sleep(rnd() * 2000);
      d.hosts.forEach(each => each.start());
      return;
    case 'wcut': {
      const worker = pick(d.workers);
      worker.cutOff = true;
      await sleep(1000 + rnd() * 6000);
      worker.cutOff = false;
      return;
    }
    case 'wcrash': {
      const worker = pick(d.workers);
      worker.up = false;
      worker.active.forEach(run => {
        clearTimeout(run.timer);
        clearTimeout(run.alone);
        breakGang(run);
      });
      worker.active.clear();
      worker.stop();
      d.store.put('keyed.servers', worker.id, undefined);
      await sleep(1000);
      const { holdMaxMs } = worker;
      const next = new Worker(worker.name, {
        record,
        store: d.store,
        holdMaxMs,
        ...options,
      });
      await next.start();
      d.workers.splice(d.workers.indexOf(worker), 1, next);
      return;
    }
    case 'store':
      d.store.modes.set('*', pick(['silent', 'busy', 'reset']));
      await sleep(1000 + rnd() * 3500);
      d.store.modes.set('*', 'up');
      return;
    case 'hoststore':
      d.store.modes.set(host.name, pick(['silent', 'busy', 'reset']));
      await sleep(1000 + rnd() * 8000);
      d.store.modes.delete(host.name);
      return;
    case 'lateappend':
      d.store.lateAppend = () =>
        rnd() < 0.33 ? { runAfterMs: 1000 + rnd() * 5000 } : undefined;
      await sleep(3000);
      d.store.lateAppend = () => undefined;
      return;
    case 'lateorder':
      for (const worker of d.workers) {
        worker.lateOrder = () =>
          rnd() < 0.055 ? { runAfterMs: 2000 + rnd() * 8000 } : undefined;
      }
      await sleep(4000);
      for (const worker of d.workers) {
        worker.lateOrder = () => undefined;
      }
      return;
    default:
      throw new Error(`no such kind: ${kind}`);
  }
}

const ENDS = { lasting: 'running', hopeless: 'failed' };

await d.start({ hosts: 3, workers: 4, worker: options });
let traffic = true;
const sending = (async () => {
  for (let n = 1; traffic; n += 1) {
    const id =
      (seed % 1000).toString(16).padStart(4, '0') +
      n.toString(16).padStart(12, '0');
    const { kind, cancelAfterS, ...body } = drawJob();
    const path = `/${kind === 'lasting' ? 'lasting' : 'short'}/${id}`;
    const job = { id, kind, path, ...body };
    jobs.set(id, job);
    void handIn(job, { cancelAfterS, body });
    await sleep(150 + rnd() * 400);
  }
})();
const until = record.now() + 55;
while (record.now() < until) {
  await sleep(1000 + rnd() * 4000);
  const kind = pick(kinds);
  const host = rnd() < 0.6 && d.leader ? d.leader : pick(d.hosts);
  record.write(`trouble ${kind} ${host.name}`);
  lastTrouble = record.now();
  await trouble(kind, host);
  lastTrouble = record.now();
}
traffic = false;
await sending;
await sleep(22_000);
for (const job of jobs.values()) {
  if (job.accepted && !job.cancelled) {
    const { status, body } = await d.stateOf(job.path, { quiet: true });
    const found = status === 200 ? JSON.parse(body).state : String(status);
    if (found !== (ENDS[job.kind] ?? 'completed')) {
      broken(`LOST ${job.id} (${job.kind}) is ${found}`);
    }
  }
}
for (const worker of d.workers) {
  for (const task of worker.active.keys()) {
    if (jobs.get(task.split('.')[0]).cancelled) {
      broken(`UNASKED ${task} still runs`);
    }
  }
}
record.write(`${jobs.size} jobs, ${brokenCount} checks failed`);
await d.stop();
process.exit(brokenCount > 0 ? 1 : 0);
