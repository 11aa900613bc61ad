#!/usr/bin/env node
/** Entry point of `paddlewindd`. */
import meow from 'meow';

import { startEntryHost } from './entry-host.js';
import { createLogger } from './logging/logger.js';
import { readSettings } from './settings/read.js';

const HELP = `
  Usage
    $ paddlewindd --settings FILE [--check]

  Options
    --settings  settings in JSON; see docs/SETTINGS.md
    --check     check the settings and exit

  Exit codes: 0 stopped gracefully or settings are valid, 1 failed to start, 2 settings are invalid
`;

const EXIT_FAILED = 1;
const EXIT_INVALID = 2;

async function main(): Promise<number | undefined> {
  const { flags } = meow(HELP, {
    importMeta: import.meta,
    flags: {
      settings: { type: 'string' },
      check: { type: 'boolean', default: false },
    },
  });
  if (flags.settings === undefined) {
    process.stderr.write(HELP);
    return EXIT_INVALID;
  }
  const settings = readSettings(flags.settings);
  if (settings.isErr) {
    for (const err of settings.error) {
      process.stderr.write(`error: ${err.message}\n`);
    }
    return EXIT_INVALID;
  }
  if (flags.check) {
    process.stdout.write('settings are valid\n');
    return 0;
  }
  const log = createLogger(settings.value.logLevel, settings.value.host.id);
  try {
    const host = await startEntryHost(settings.value, log);
    stopOnSignal(host.stop);
    return undefined;
  } catch (err) {
    log.fatal({ err }, 'daemon: cannot start');
    return EXIT_FAILED;
  }
}

/** Shuts down gracefully on the first signal, at once on the second. */
function stopOnSignal(stop: () => Promise<void>): void {
  let stopping = false;
  const onSignal = () => {
    if (stopping) {
      process.exit(EXIT_FAILED);
    }
    stopping = true;
    void stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

const code = await main();
if (code !== undefined) {
  process.exitCode = code;
}
