/** In-memory partition of the platform's log, with fenced and deduplicated appends and waiting readers. */
import type { AppendResult, WriterStamp } from '@paddlewind/ports/jobs';

/** Number of recent appends of a writer whose repetition gets the first result. */
const REMEMBERED_APPENDS = 5;

/** Returns the first records of `all` that fit in `bytes`, but at least one. */
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

/** A partition without faults. */
export class LogPartition {
  /** All records since offset 0. */
  readonly records: Uint8Array[] = [];
  /** Offset of the first retained record. */
  firstOffset = 0;

  private readonly writers = new Map<string, Writer>();
  private waiting: (() => void)[] = [];

  /** Appends all records or none; a stamp has to follow the writer's last one. */
  append(records: readonly Uint8Array[], stamp?: WriterStamp): AppendResult {
    if (stamp === undefined) {
      return this.store(records);
    }
    const { writer, epoch, sequence } = stamp;
    const known = this.writers.get(writer);
    if (known !== undefined && epoch <= known.epoch) {
      const settled = answerKnownStamp(known, stamp);
      if (settled !== undefined) {
        return settled;
      }
    }
    const answer = this.store(records);
    const earlier = known?.epoch === epoch ? known.answers : [];
    const answers = [...earlier, { sequence, answer }].slice(
      -REMEMBERED_APPENDS,
    );
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

/** Returns the result for a fenced, repeated or out-of-sequence stamp; undefined for the next in sequence. */
function answerKnownStamp(
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
