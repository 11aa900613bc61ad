/** A lasting job is cancelled, all hosts are restarted in turn, and the tasks of the cancelled job start again. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { BOUNDS, runCase } from '../stand-ins-2/deployment.mjs';
import { sleep, until } from '../stand-ins-2/record.mjs';

const JOB = '00000000000000a1';
const PATH = `/lasting/${JOB}`;
const AGE_AT_CANCEL_MS = 25_000;
const LASTING = {
  spec: JSON.stringify({ lasting: true }),
  phases: [
    { count: 2, cpu: 1_000, memMb: 100, estimateMs: 500, longRunning: true },
  ],
};
const SHORT = {
  spec: JSON.stringify({ runMs: 300 }),
  phases: [{ count: 2, cpu: 1_000, memMb: 100, estimateMs: 300 }],
};

await runCase(dirname(fileURLToPath(import.meta.url)), async deployment => {
  const { record, hosts, trouble } = deployment;
  const starts = [];
  await deployment.start({
    worker: {
      onStart: run => {
        if (run.task.startsWith(JOB)) {
          const inTouch = deployment.isLeaderInTouch();
          starts.push({ at: record.now(), inTouch, ...run });
        }
      },
    },
  });
  // Short jobs of other clients go on all the time.
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
      await sleep(500);
    }
  })();

  if ((await deployment.submit(PATH, LASTING)).status !== 200) {
    throw new Error('the job was not accepted');
  }
  await until(() => starts.length >= 2, 5_000);
  await sleep(AGE_AT_CANCEL_MS);
  const cancelled = await deployment.attempt('DELETE', PATH);
  if (cancelled.status !== 200) {
    throw new Error('the job was not cancelled');
  }
  const cancelledAt = record.now();
  await sleep(2_000);
  await deployment.stateOf(PATH);
  if (trouble) {
    for (const host of hosts) {
      await host.terminate();
      host.start();
      await until(() => host.ready(), 10_000);
      await sleep(1_000);
    }
  } else {
    await sleep(15_000);
  }
  await sleep(10_000);
  for (const [first] of hosts.entries()) {
    await deployment.stateOf(PATH, { first });
  }
  // All machines have been in touch for longer than `cancel_ms` and `stopMs`.
  const running = deployment.workers.flatMap(({ name, active }) =>
    [...active.keys()]
      .filter(task => task.startsWith(JOB))
      .map(
        task =>
          `UNASKED: ${task} runs on ${name} ${(record.now() - cancelledAt).toFixed(1)} s after the cancelling was acknowledged`,
      ),
  );
  traffic = false;
  await others;
  const limit = cancelledAt + BOUNDS.cancel_ms / 1000;
  const started = starts
    .filter(({ at, inTouch }) => inTouch && at > limit)
    .map(
      ({ at, task, number }) =>
        `UNASKED: ${task} run ${number} was started by a machine in touch ${(at - cancelledAt).toFixed(1)} s after the cancelling was acknowledged`,
    );
  return [...started, ...running];
});
