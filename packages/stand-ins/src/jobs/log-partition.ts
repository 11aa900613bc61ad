/** One partition of the platform's log: records by offset, stamped appends, waiting readers. */
import type { AppendResult, WriterStamp } from '@paddlewind/ports/jobs';

/** Appends whose repetition gets the first answer again. */
const REMEMBERED = 5;

/** The first records of `all` that fit in `bytes`, and at least one. */
export function firstBytes(
  all: readonly Uint8Array[],
  bytes: number,
): readonly Uint8Array[] {
  let left = bytes;
  const end = all.findIndex(record => {
    left -= record.length;
    return left < 0;
  });
  return end === -1 ? all : all.slice(0, Math.max(1, end));
}

interface Writer {
  readonly epoch: number;
  readonly sequence: number;
  readonly answers: readonly {
    readonly sequence: number;
    readonly answer: AppendResult;
  }[];
}

/** A partition that loses nothing. */
export class LogPartition {
  /** All records, the first at offset 0. */
  readonly records: Uint8Array[] = [];
  /** Offset of the first record that is still kept. */
  firstOffset = 0;

  private readonly writers = new Map<string, Writer>();
  private waiting: (() => void)[] = [];

  /** Appends all or nothing; a stamp has to follow the last one of its writer. */
  append(records: readonly Uint8Array[], stamp?: WriterStamp): AppendResult {
    if (stamp === undefined) {
      return this.store(records);
    }
    const { writer, epoch, sequence } = stamp;
    const known = this.writers.get(writer);
    if (known !== undefined && epoch <= known.epoch) {
      const settled = settle(known, stamp);
      if (settled !== undefined) {
        return settled;
      }
    }
    const answer = this.store(records);
    const earlier = known?.epoch === epoch ? known.answers : [];
    const answers = [...earlier, { sequence, answer }].slice(-REMEMBERED);
    this.writers.set(writer, { epoch, sequence, answers });
    return answer;
  }

  /** Calls `wake` at the next append. */
  onAppend(wake: () => void): void {
    this.waiting.push(wake);
  }

  private store(records: readonly Uint8Array[]): AppendResult {
    const offset = this.records.length;
    this.records.push(...records);
    const { waiting } = this;
    this.waiting = [];
    for (const wake of waiting) {
      wake();
    }
    return { kind: 'appended', offset, nextOffset: this.records.length };
  }
}

/** Answers a stamp that is not news; undefined for the one that comes next. */
function settle(
  known: Writer,
  { epoch, sequence }: WriterStamp,
): AppendResult | undefined {
  if (epoch < known.epoch) {
    return { kind: 'fenced' };
  }
  const repeated = known.answers.find(
    answered => answered.sequence === sequence,
  );
  if (repeated !== undefined) {
    return repeated.answer;
  }
  return sequence === known.sequence + 1
    ? undefined
    : { kind: 'out_of_sequence' };
}
