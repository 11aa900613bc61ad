/**
 * The leader is killed. Until another host leads, a worker ends more than 500 runs, and lists 500 of them at a time:
 * the new leader takes the others for runs that never started, and starts a task again that is done.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { runCase } from '../stand-ins-2/deployment.mjs';
import { sleep, until } from '../stand-ins-2/record.mjs';

const JOBS = 12;
const TASKS = 100;
const CPU_MILLI = 50;
/** Most of this is waiting for an input that arrives for all tasks at once. */
const RUN_MS = 60_000;
const START_LIMIT_MS = 30_000;
const DOWN_MS = 2_000;
const JOB = {
  spec: JSON.stringify({ runMs: RUN_MS, waits: true }),
  phases: [{ count: TASKS, cpu: CPU_MILLI, memMb: 10, estimateMs: RUN_MS }],
};

await runCase(dirname(fileURLToPath(import.meta.url)), async deployment => {
  const { record, trouble } = deployment;
  const done = new Map();
  const startedAgain = [];
  const broken = [];
  let started = 0;
  const noteTwice = (task, at, before) => {
    broken.push(
      `TWICE: ${task} run ${at.number} started ${(at.time - before.time).toFixed(1)} s after run ${before.number} had ended done`,
    );
  };
  await deployment.start({
    workers: 2,
    worker: {
      cpu: 32_000,
      onStart: ({ task, number }) => {
        started += 1;
        if (done.has(task)) {
          startedAgain.push({ task, number, time: record.now() });
        }
      },
      onEnd: ({ task, number }, how) => {
        if (how === 'done' && !done.has(task)) {
          done.set(task, { number, time: record.now(), noted: false });
        }
      },
      onAcknowledged: ({ task, number }, how) => {
        const end = done.get(task);
        if (how === 'done' && end?.number === number) {
          end.noted = true;
        }
      },
    },
  });
  const paths = Array.from(
    { length: JOBS },
    (_, n) => `/short/${(n + 1).toString(16).padStart(16, 'a')}`,
  );
  await Promise.all(
    paths.map((path, n) => deployment.submit(path, JOB, { first: n })),
  );
  if (!(await until(() => started >= JOBS * TASKS, START_LIMIT_MS))) {
    throw new Error(`only ${started} runs have started in time`);
  }
  record.write(`${started} runs have started`);
  const release = () => {
    deployment.workers.forEach(worker => worker.release());
  };
  if (trouble) {
    const { leader } = deployment;
    leader.signal('SIGKILL');
    await leader.exited;
    release();
    await sleep(DOWN_MS);
    leader.start();
  } else {
    release();
  }
  const completed = async path =>
    (await deployment.stateOf(path, { quiet: true })).body.includes(
      'completed',
    );
  await until(
    async () => (await Promise.all(paths.map(completed))).every(Boolean),
    40_000,
    500,
  );
  for (const path of paths) {
    await deployment.stateOf(path);
  }
  // An end counts once `ackIndex` has reached it, then or later.
  for (const start of startedAgain) {
    const before = done.get(start.task);
    if (before.noted) {
      noteTwice(start.task, start, before);
    }
  }
  record.write(
    `${startedAgain.length} runs were started after their task had been done`,
  );
  return broken;
});
