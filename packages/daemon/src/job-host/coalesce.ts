/** Lets all who ask at the same time share one answer. */

/** Runs `work` for all who ask while it is under way once more after it, one at a time. */
export function coalesce<T>(work: () => Promise<T>): () => Promise<T> {
  let running: Promise<T> | undefined;
  let queued: Promise<T> | undefined;

  async function runNext(): Promise<T> {
    // Who waits for the next run is not concerned by how this one ends.
    await running?.catch(() => undefined);
    queued = undefined;
    running = work();
    try {
      return await running;
    } finally {
      running = undefined;
    }
  }

  return () => {
    if (running === undefined && queued === undefined) {
      queued = runNext();
    }
    queued ??= runNext();
    return queued;
  };
}
