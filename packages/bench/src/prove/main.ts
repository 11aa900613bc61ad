/** `npm run prove -- --seconds N --seed S`: runs the whole path under faults and judges the history. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import meow from 'meow';

import { createProcessGroup } from '../processes/process-group.js';
import { runUnderFaults } from './run.js';
import { isBroken, judge, renderVerdicts } from './verdict.js';

const HELP = `
  Usage
    $ npm run prove -- [--seconds N] [--seed S] [--retention N]

  Options
    --seconds    time under faults (default 30)
    --seed       seed of the faults, requests and jobs (default 1)
    --retention  seconds that the log keeps entries, at least 60 (default for ever)

  Exit codes: 0 every promise held, 1 a promise is broken or the run failed
`;

/** Time beyond that under faults after which a run is given up, in milliseconds. */
const OVERTIME_MS = 120_000;

function say(text: string): void {
  process.stdout.write(`prove: ${text}\n`);
}

async function main(): Promise<void> {
  const { flags } = meow(HELP, {
    importMeta: import.meta,
    flags: {
      seconds: { type: 'number', default: 30 },
      seed: { type: 'number', default: 1 },
      retention: { type: 'number' },
    },
  });
  const directory = mkdtempSync(join(tmpdir(), 'paddlewind-prove-'));
  const group = createProcessGroup();
  setTimeout(
    () => {
      say('not done in time');
      process.exit(1);
    },
    flags.seconds * 1_000 + OVERTIME_MS,
  ).unref();
  const { seconds, seed, retention } = flags;
  const held = await prove({
    seconds,
    seed,
    ...(retention === undefined ? {} : { retentionMs: retention * 1_000 }),
    directory,
    group,
    say,
  }).catch((err: unknown) => {
    say(err instanceof Error ? err.message : String(err));
    return false;
  });
  await group.close();
  if (held) {
    rmSync(directory, { recursive: true });
  } else {
    say(`history and logs are in ${directory}`);
  }
  process.exit(held ? 0 : 1);
}

async function prove(
  options: Parameters<typeof runUnderFaults>[0],
): Promise<boolean> {
  const history = await runUnderFaults(options);
  const lines = history.map(event => JSON.stringify(event));
  writeFileSync(
    join(options.directory, 'history.jsonl'),
    `${lines.join('\n')}\n`,
  );
  const verdicts = judge(history);
  renderVerdicts(verdicts, history).forEach(say);
  const broken = isBroken(verdicts);
  const seed = `seed ${options.seed}, ${options.seconds} s`;
  say(
    broken ? `a promise is broken (${seed})` : `every promise held (${seed})`,
  );
  return !broken;
}

await main();
