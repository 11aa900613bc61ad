/** The daemon's command line: reads the settings, runs the entry host and stops it when asked. */
import meow from 'meow';

import { startEntryHost } from './entry-host.js';
import { createLogger } from './logging/logger.js';
import { readSettings } from './settings/read.js';
import type { Settings } from './settings/schema.js';

const HELP = `
  Usage
    $ paddlewindd --settings FILE [--check]

  Options
    --settings  settings in JSON; see docs/SETTINGS.md
    --check     check the settings and exit

  Exit codes: 0 stopped gracefully or settings are valid, 1 failed to start, 2 settings are invalid
`;

const EXIT_OK = 0;
const EXIT_FAILED = 1;
const EXIT_INVALID = 2;

/** Runs until `stopAsked` resolves, also when that is before the start is done; resolves to the exit code. */
export async function runDaemon(stopAsked: Promise<void>): Promise<number> {
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
    return EXIT_OK;
  }
  return serve(settings.value, stopAsked);
}

async function serve(
  settings: Settings,
  stopAsked: Promise<void>,
): Promise<number> {
  const log = createLogger(settings.logLevel, settings.host.id);
  try {
    const host = await startEntryHost(settings, log);
    await stopAsked;
    await host.stop();
    return EXIT_OK;
  } catch (err) {
    log.fatal({ err }, 'daemon: failed');
    return EXIT_FAILED;
  }
}
