/** What every command is given. */
import type { Operators } from './client.js';
import type { Io } from './output.js';

/** A command's surroundings: operands, flags, calls and output. */
export interface CommandContext {
  readonly args: readonly string[];
  readonly flags: Flags;
  readonly operators: Operators;
  readonly io: Io;
  /** Returns a new unique id for a change. */
  readonly newId: () => string;
}

/** Flags of the command line. */
export interface Flags {
  readonly json: boolean;
  readonly wait: boolean;
  readonly prune: boolean;
  readonly undo: boolean;
  readonly html: string | undefined;
  readonly timeoutMs: number;
  readonly id: string | undefined;
}

/** A command; resolves to its exit code. */
export type Command = (ctx: CommandContext) => Promise<number>;
