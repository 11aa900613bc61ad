/** Describes in words why a job has failed. */
import {
  readFailedJobs,
  type CountedLoss,
  type FailedJob,
} from '../failed-jobs.js';
import {
  numberOrUndefined,
  stringOrEmpty,
  type LogLine,
} from '../log-lines.js';

const MS_PER_S = 1_000;

/** Messages of hosts that have found a job to be failed, or have shown it so to a caller. */
const SEEN_MSGS = [
  'replica: a job has failed',
  'jobs: a job is shown as failed',
];

/** Returns why the job of these lines has failed, once for each leader that decided it. */
export function failureCauses(lines: readonly LogLine[]): string[] {
  const decided = readFailedJobs(lines);
  return decided.length > 0
    ? decided.flatMap(decidedCauses)
    : seenCauses(lines);
}

/** Returns what other hosts tell of a failure of which no leader tells. */
function seenCauses(lines: readonly LogLine[]): string[] {
  const seen = lines.filter(({ msg }) => SEEN_MSGS.includes(msg));
  const causes = seen.map(({ host, fields: { reason, epoch, source } }) => {
    const known = stringOrEmpty(source) || 'journal';
    return `failed by the ${known} at ${host}, ${stringOrEmpty(reason)}, in epoch ${numberOrUndefined(epoch) ?? 'unknown'}: no leader tells why`;
  });
  return [...new Set(causes)];
}

function decidedCauses(failed: FailedJob): string[] {
  return [
    `failed by ${failed.host} in epoch ${failed.epoch ?? 'unknown'}, ${failed.reason}: ${reasonText(failed)}`,
    ...failed.losses.map(loss => `counted: ${lossText(loss)}`),
  ];
}

function reasonText(failed: FailedJob): string {
  const { task, failures, maxAttempts, failedRuns, losses } = failed;
  const runs =
    failedRuns.length === 0
      ? ''
      : ` (runs ${failedRuns.join(', ')} under this leader)`;
  return `task ${task} has failed ${failures} of ${maxAttempts} times${runs}, and ${losses.length} losses of workers count`;
}

function lossText({ worker, run, suspicion, ...loss }: CountedLoss): string {
  const at =
    loss.msAgo === undefined
      ? 'at an unknown time'
      : `${(loss.msAgo / MS_PER_S).toFixed(1)} s before`;
  const who = `${worker} under run ${run ?? 'unknown'}, ${at}, ${suspicion}`;
  return loss.lossKind === ''
    ? `${who}, judged by another leader`
    : `${who}, judged ${loss.lossKind} (${loss.reason}, ${loss.presence}) with ${loss.othersLost ?? 0} other workers lost and ${loss.silentWorkers ?? 0} silent`;
}
