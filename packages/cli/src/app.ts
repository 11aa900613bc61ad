/** Parses the command line and dispatches to its commands. */
import { randomUUID } from 'node:crypto';
import { existsSync } from 'node:fs';

import { appError, type AppError } from '@paddlewind/domain';
import meow from 'meow';
import { Result } from 'true-myth';

import { createOperators, type ClientTls } from './client.js';
import type { Command } from './command.js';
import { apply } from './commands/apply.js';
import { diff } from './commands/diff.js';
import { drain } from './commands/drain.js';
import { describe, get } from './commands/get.js';
import { job } from './commands/job.js';
import { losses } from './commands/losses.js';
import { report } from './commands/report.js';
import { top } from './commands/top.js';
import { trace } from './commands/trace.js';
import { validate } from './commands/validate.js';
import { fail, type Io } from './output.js';

const HELP = `
  Usage
    $ paddlewind COMMAND [--server ip:port[,ip:port…]] [--json]

  Commands
    validate PATH            check declarations, without a call to any host
    diff PATH [--prune]      show what apply would change; exits 20 when there are differences
    apply PATH [--wait] [--prune] [--id ID]
                             publish declarations as one change set
    get [KIND [NAME]]        list the configuration in force
    describe KIND NAME       show one object
    job submit FILE [--id ID] | job status ID | job cancel ID | job release ID
    drain WORKER [--undo]    take a worker out of service, or put it back
    top                      show hosts, shards and entry hosts
    report burn [--html FILE]
                             report on service-level burn
    trace ID [FILE…]         show a job's history from the logs of hosts, or from standard input
    losses [FILE…]           show where the time of late jobs went, from the logs of hosts

  Options
    --server      entry hosts to ask, in order; also PADDLEWIND_SERVER (default 127.0.0.1:7400)
    --cert, --key, --ca  files of the client's certificate, where TLS is on
    --timeout-ms  how long to wait for an answer (default 15000)
    --json        print JSON

  Exit codes: see docs/CLI.md
`;

const DEFAULT_SERVER = '127.0.0.1:7400';
const DEFAULT_TIMEOUT_MS = 15_000;

const COMMANDS: Readonly<Record<string, Command>> = {
  apply,
  describe,
  diff,
  drain,
  get,
  job,
  losses,
  report,
  top,
  trace,
  validate,
};

function parse(argv: readonly string[]) {
  return meow(HELP, {
    importMeta: import.meta,
    argv,
    autoHelp: false,
    autoVersion: false,
    flags: {
      server: { type: 'string' },
      json: { type: 'boolean', default: false },
      wait: { type: 'boolean', default: false },
      prune: { type: 'boolean', default: false },
      undo: { type: 'boolean', default: false },
      help: { type: 'boolean', default: false },
      html: { type: 'string' },
      id: { type: 'string' },
      timeoutMs: { type: 'number', default: DEFAULT_TIMEOUT_MS },
      cert: { type: 'string' },
      key: { type: 'string' },
      ca: { type: 'string' },
    },
  });
}

type ParsedFlags = ReturnType<typeof parse>['flags'];

/** Runs one command and resolves to its exit code. */
export async function runCli(
  argv: readonly string[],
  env: Readonly<Record<string, string | undefined>>,
  io: Io,
): Promise<number> {
  const { input, flags, unnormalizedFlags } = parse(argv);
  const [name, ...args] = input;
  const unknown = unknownFlags(unnormalizedFlags);
  if (unknown.length > 0) {
    const list = unknown.map(flag => `--${flag}`).join(', ');
    return fail(io, flags.json, [
      appError('invalid', `unknown option ${list}; see paddlewind --help`),
    ]);
  }
  if (flags.help || name === undefined) {
    io.out(HELP);
    return flags.help ? 0 : 2;
  }
  const command = Object.hasOwn(COMMANDS, name) ? COMMANDS[name] : undefined;
  if (command === undefined) {
    return fail(io, flags.json, [
      appError('invalid', `unknown command ${name}; see paddlewind --help`),
    ]);
  }
  const tls = tlsFromFlags(flags);
  if (tls.isErr) {
    return fail(io, flags.json, [tls.error]);
  }
  const servers = flags.server ?? env.PADDLEWIND_SERVER ?? DEFAULT_SERVER;
  return command({
    args,
    flags: { ...flags, html: flags.html, id: flags.id },
    operators: createOperators(servers.split(','), tls.value),
    io,
    newId: randomUUID,
  });
}

const KNOWN_FLAGS = new Set([
  'server',
  'json',
  'wait',
  'prune',
  'undo',
  'help',
  'html',
  'id',
  'timeout-ms',
  'timeoutMs',
  'cert',
  'key',
  'ca',
]);

function unknownFlags(flags: Readonly<Record<string, unknown>>): string[] {
  return Object.keys(flags).filter(flag => !KNOWN_FLAGS.has(flag));
}

function tlsFromFlags(
  flags: ParsedFlags,
): Result<ClientTls | undefined, AppError> {
  const { cert, key, ca } = flags;
  if (cert === undefined && key === undefined && ca === undefined) {
    return Result.ok(undefined);
  }
  if (cert === undefined || key === undefined || ca === undefined) {
    const message = '--cert, --key and --ca go together';
    return Result.err(appError('invalid', message));
  }
  const missing = [cert, key, ca].find(file => !existsSync(file));
  if (missing !== undefined) {
    return Result.err(appError('invalid', `${missing}: no such file`));
  }
  return Result.ok({ certFile: cert, keyFile: key, caFile: ca });
}
