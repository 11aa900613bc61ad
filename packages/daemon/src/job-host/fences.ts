/**
 * Fencing tokens of one leader. A restarted worker has seen no fence, so it would carry out a delayed call
 * that was meant for its previous incarnation. Each incarnation is therefore called with a higher fence:
 * after its first answer it refuses every call meant for an earlier one.
 */

/** Assigns fences to workers, from a range that no earlier leader can have used. */
export class Fences {
  /** Current fence of each worker, by id. */
  private readonly current = new Map<string, number>();

  /** Creates fences from `first` to `last`. */
  constructor(
    private readonly first: number,
    private readonly last: number,
    /** Called if no higher fence is left for a restarted worker; another leader has to take over. */
    private readonly onExhausted: (worker: string) => void,
  ) {}

  /** Returns the fence for a worker that this leader calls for the first time, or that has restarted. */
  next(worker: string): number {
    const previous = this.current.get(worker) ?? this.first - 1;
    if (previous === this.last) {
      this.onExhausted(worker);
      return previous;
    }
    this.current.set(worker, previous + 1);
    return previous + 1;
  }
}
