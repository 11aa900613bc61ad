/** Interface of a command. */
import type { Operators } from './client.js';
import type { Io } from './output.js';

/** Operands, flags, client and output passed to a command. */
export interface CommandContext {
  readonly args: readonly string[];
  readonly flags: Flags;
  readonly operators: Operators;
  readonly io: Io;
  /** Returns a new unique id for a change. */
  readonly newId: () => string;
}

/** Parsed flags of the command line. */
export interface Flags {
  readonly json: boolean;
  readonly wait: boolean;
  readonly prune: boolean;
  readonly undo: boolean;
  readonly html: string | undefined;
  readonly timeoutMs: number;
  readonly id: string | undefined;
}

/** Runs a command and resolves to its exit code. */
export type Command = (ctx: CommandContext) => Promise<number>;
