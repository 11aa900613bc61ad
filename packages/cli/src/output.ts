/** Prints results and errors as text or, with `--json`, as JSON. */
import {
  ERROR_RESPONSES,
  type AppError,
  type ErrorKind,
} from '@paddlewind/domain';

/** Output channels of a command. */
export interface Io {
  out(text: string): void;
  err(text: string): void;
}

/** Exit code of a command that succeeded. */
export const EXIT_OK = 0;

/** Exit code of `diff` when there are differences. */
export const EXIT_DIFFERENT = 20;

/** Advice printed after an error of each kind; empty if the message needs none. */
const ADVICE: Readonly<Record<ErrorKind, string>> = {
  invalid: 'Correct the input and try again.',
  unauthenticated: 'Give a valid certificate by --cert, --key and --ca.',
  not_found: 'Check the name with `paddlewind get`.',
  conflict:
    'Somebody changed it meanwhile: look at `paddlewind diff` and apply again.',
  too_large: 'Split the input.',
  header_too_large: 'Shorten the headers.',
  unschedulable: 'Lower the size or widen the selector of the job.',
  quota_exceeded: "Wait, or raise the team's quota.",
  overloaded: 'Try again a little later.',
  deadline_unmet: 'Try again a little later.',
  no_backend: 'Check the hosts with `paddlewind top`.',
  not_ready: 'Try another entry host, or again a little later.',
  not_owner: 'Try again a little later.',
  log_unavailable:
    'The log service is down; nothing was lost, try again when it is back.',
  log_trimmed: 'Try again a little later.',
  unsupported_record: 'Upgrade this program.',
  duplicate_request: 'Look at the state before trying again.',
  backend_failed: 'Look at the state before trying again.',
  timeout: 'Look at the state before trying again.',
  canceled: '',
  internal: 'Look at the logs of the entry host.',
};

/** Prints the errors and returns the exit code of the first one. */
export function fail(
  io: Io,
  json: boolean,
  errors: readonly AppError[],
): number {
  const [first] = errors;
  if (json) {
    io.err(JSON.stringify({ errors }));
  } else {
    for (const error of errors) {
      io.err(`error: ${error.message}`);
    }
    const advice = first === undefined ? '' : ADVICE[first.kind];
    if (advice !== '') {
      io.err(advice);
    }
  }
  return first === undefined ? 1 : ERROR_RESPONSES[first.kind].exitCode;
}

/** Formats rows under a header in aligned columns. */
export function table(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map(row => row[column]?.length ?? 0)),
  );
  const lines = all.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return lines.join('\n');
}

/** Prints `value` as JSON or else `text`, and returns the exit code of success. */
export function succeed(
  io: Io,
  json: boolean,
  value: unknown,
  text: string,
): number {
  io.out(json ? toJson(value) : text);
  return EXIT_OK;
}

function toJson(value: unknown): string {
  return JSON.stringify(value, (key, item: unknown) => {
    if (key === '$typeName' || key === '$unknown') {
      return undefined;
    }
    return typeof item === 'bigint' ? Number(item) : item;
  });
}
