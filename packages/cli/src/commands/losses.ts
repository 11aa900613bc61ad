/** `losses [FILE…]`: where the time of jobs went, from the logs of all hosts. */
import type { CommandContext } from '../command.js';
import { readLosses, type Losses } from '../losses/losses.js';
import { fail, succeed } from '../output.js';
import { readTexts } from '../read-texts.js';

/** Most phases that are printed of a queue. */
const SHOWN_PHASES = 6;

/** Prints where the time went of jobs that were not in time; reads standard input where no file is named. */
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
  return succeed(io, flags.json, found, textOfLosses(found));
}

function textOfLosses({ queues, windows, unread }: Losses): string {
  const lines = queues.flatMap(({ queue, phases, sizes, ...of }) => [
    `${queue}: ${of.jobs} jobs, ${of.inTime} in time, ${of.late} late, ${of.unfinished} unfinished, ${of.cancelled} cancelled`,
    ...sizes.map(
      ({ size, asked, ...its }) =>
        `  ${size}: ${asked} asked for, ${its.inTime} in time, ${its.late} late, ${its.unfinished} unfinished, ${its.notAccepted} not accepted`,
    ),
    ...phases
      .slice(0, SHOWN_PHASES)
      .map(({ phase, seconds }) => `  ${seconds.toFixed(1)} s ${phase}`),
  ]);
  const perWindow = windows.map(
    ({ second, jobs, inTime, largest }) =>
      `from ${second} s: ${inTime} of ${jobs} in time${largest === '' ? '' : `, most lost: ${largest}`}`,
  );
  const [first] = unread;
  const told =
    first === undefined
      ? []
      : [`${unread.length} lines are no line of a host, the first is ${first}`];
  return [...lines, ...perWindow, ...told].join('\n');
}
