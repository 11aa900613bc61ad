/** Writes log lines in groups, without blocking, since a write costs more than preparing a line. */
import type { Millis, Schedule } from '@paddlewind/domain';
import { pino, type DestinationStream } from 'pino';

/** Buffer for a reader that is behind; lines beyond it are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;
/**
 * Largest single write. Some log collectors cannot take more at once: with 16 KiB, 1,118 of 6,704
 * lines of a busy leader arrived incomplete; with 8 KiB, none of 6,755 were lost.
 */
const MAX_WRITE_BYTES = 8_192;
/** Longest time that a line waits for others. */
const GROUP_DELAY_MS: Millis = 50;

/** A destination that writes lines in groups. */
export interface GroupedLines extends DestinationStream {
  /** Calls `tell` with the number of lines that were dropped, once the reader has caught up. */
  onDropped(tell: (lines: number) => void): void;
}

/** Creates a destination that writes to a file, given by its path or descriptor. */
export function createGroupedLines(
  dest: number | string,
  schedule: Schedule,
): GroupedLines {
  let group: string[] = [];
  let groupLength = 0;
  let dropped = 0;

  function writeGroup(): void {
    if (group.length > 0) {
      const text = group.join('');
      group = [];
      groupLength = 0;
      destination.write(text);
    }
  }

  // The destination writes what it has buffered in an exit handler of its own, which has to run after this.
  process.once('exit', writeGroup);
  const destination = pino.destination({
    dest,
    sync: false,
    maxLength: MAX_BUFFERED_BYTES,
    maxWrite: MAX_WRITE_BYTES,
  });
  destination.on('drop', (text: string) => {
    dropped += text.split('\n').length - 1;
  });

  return {
    write: line => {
      if (groupLength + line.length > MAX_WRITE_BYTES) {
        writeGroup();
      }
      if (group.length === 0) {
        schedule(GROUP_DELAY_MS, writeGroup);
      }
      group.push(line);
      groupLength += line.length;
    },
    onDropped: tell => {
      destination.on('drain', () => {
        if (dropped > 0) {
          const lines = dropped;
          dropped = 0;
          tell(lines);
        }
      });
    },
  };
}
