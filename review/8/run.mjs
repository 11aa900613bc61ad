/**
 * Answers of the store are lost for some seconds, and the writes are done seconds later. Some 20 s later all hosts are
 * killed and start again: jobs that were completed long ago run again.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { KEEP_S, runCase } from '../stand-ins-2/deployment.mjs';
import { sleep, until } from '../stand-ins-2/record.mjs';

const JOBS = 10;
/** Every third append of a host to the topic of callers' requests: `x` is at most 0.35. */
const LOST_SHARE = 1 / 3;
const LATE_MS = 5_500;
/** The answers are lost for this long at most. */
const LOST_FOR_MS = 4_500;
const SHORT = {
  spec: JSON.stringify({ runMs: 300 }),
  phases: [{ count: 1, cpu: 1_000, memMb: 100, estimateMs: 300 }],
};

await runCase(dirname(fileURLToPath(import.meta.url)), async deployment => {
  const { record, hosts, store, trouble } = deployment;
  const ended = new Map();
  const broken = [];
  await deployment.start({
    worker: {
      onStart: ({ task, number }) => {
        const before = ended.get(task);
        if (before !== undefined) {
          broken.push(
            `TWICE: ${task} run ${number} started ${(record.now() - before.at).toFixed(1)} s after run ${before.number} had ended done`,
          );
        }
      },
      // The end is taken note of when `ackIndex` reaches it.
      onAcknowledged: ({ task, number }, how) => {
        if (how === 'done') {
          ended.set(task, { at: record.now(), number });
        }
      },
    },
  });
  let traffic = true;
  let sent = 0;
  const others = (async () => {
    while (traffic) {
      sent += 1;
      const id = sent.toString(16).padStart(16, 'b');
      await deployment.submit(`/short/${id}`, SHORT, {
        first: sent,
        quiet: true,
      });
      await sleep(400);
    }
  })();
  await sleep(2_000);

  const paths = Array.from(
    { length: JOBS },
    (_, n) => `/short/${(n + 1).toString(16).padStart(16, 'a')}`,
  );
  let appends = 0;
  let lost = 0;
  if (trouble) {
    const lostUntil = performance.now() + LOST_FOR_MS;
    store.lateAppend = topic => {
      if (!topic.endsWith('inbox') || performance.now() > lostUntil) {
        return undefined;
      }
      appends += 1;
      if (lost + 1 > appends * LOST_SHARE) {
        return undefined;
      }
      lost += 1;
      record.write(
        `store does not answer append ${appends} to ${topic}, and does it ${LATE_MS} ms later`,
      );
      return { runAfterMs: LATE_MS };
    };
  }
  const accepted = await Promise.all(
    paths.map(async (path, n) => {
      await sleep(n * 100);
      return (
        (await deployment.submit(path, SHORT, { first: n })).status === 200
      );
    }),
  );
  store.lateAppend = () => undefined;
  record.write('the store answers again');
  if (!accepted.every(Boolean)) {
    throw new Error('a job was not accepted');
  }
  const isDone = path => ended.has(`${path.slice('/short/'.length)}.0.0.0`);
  if (!(await until(() => paths.every(isDone), 3_000))) {
    throw new Error('a job did not run in time');
  }
  const doneAt = record.now();
  for (const path of paths) {
    await deployment.stateOf(path);
  }
  // Until the store has dropped what it wrote before the last job was done, and still has the late writes.
  await sleep((doneAt + KEEP_S + 0.5 - record.now()) * 1000);
  if (trouble) {
    for (const host of hosts) {
      host.signal('SIGKILL');
    }
    await Promise.all(hosts.map(host => host.exited));
    hosts.forEach(host => host.start());
  }
  await sleep(10_000);
  for (const path of paths) {
    await deployment.stateOf(path);
  }
  traffic = false;
  await others;
  return broken;
});
