/** `losses [FILE…]`: breaks down the time of late jobs by phase, from the logs of all hosts. */
import type { CommandContext } from '../command.js';
import { readLosses, type Losses } from '../losses/losses.js';
import { fail, succeed } from '../output.js';
import { readTexts } from '../read-texts.js';

/** Maximum number of phases printed for each queue. */
const MAX_SHOWN_PHASES = 6;

/** Prints how late and unfinished jobs spent their time; reads standard input when no file is given. */
export async function losses({
  io,
  flags,
  args,
}: CommandContext): Promise<number> {
  const texts = await readTexts(args);
  if (texts.isErr) {
    return fail(io, flags.json, [texts.error]);
  }
  const found = readLosses(texts.value);
  return succeed(io, flags.json, found, lossesText(found));
}

function lossesText({ queues, windows, failures, unread }: Losses): string {
  const lines = queues.flatMap(({ queue, phases, sizes, ...totals }) => [
    `${queue}: ${totals.jobs} jobs, ${totals.inTime} in time, ${totals.late} late, ${totals.unfinished} unfinished, ${totals.cancelled} cancelled`,
    ...sizes.map(
      ({ size, asked, ...counts }) =>
        `  ${size}: ${asked} asked for, ${counts.inTime} in time, ${counts.late} late, ${counts.unfinished} unfinished, ${counts.notAccepted} not accepted`,
    ),
    ...phases
      .slice(0, MAX_SHOWN_PHASES)
      .map(({ phase, seconds }) => `  ${seconds.toFixed(1)} s ${phase}`),
  ]);
  const perWindow = windows.map(
    ({ second, jobs, inTime, largest }) =>
      `from ${second} s: ${inTime} of ${jobs} in time${largest === '' ? '' : `, most lost: ${largest}`}`,
  );
  const failed = failures.map(
    ({ reason, jobs, lossKinds }) =>
      `${jobs} jobs failed, ${reason}${countsText(lossKinds)}`,
  );
  const [first] = unread;
  const unreadNote =
    first === undefined
      ? []
      : [`${unread.length} lines are no line of a host, the first is ${first}`];
  return [...lines, ...failed, ...perWindow, ...unreadNote].join('\n');
}

function countsText(kinds: Readonly<Record<string, number>>): string {
  const counts = Object.entries(kinds).map(
    ([kind, count]) => `${count} ${kind}`,
  );
  return counts.length === 0 ? '' : `; workers lost: ${counts.join(', ')}`;
}
