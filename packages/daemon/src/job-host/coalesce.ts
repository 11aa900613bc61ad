/** Shares one result among concurrent callers. */

/**
 * Returns a function that runs `work` one call at a time. Calls made during a run share a single run that
 * begins after it.
 */
export function coalesce<T>(work: () => Promise<T>): () => Promise<T> {
  let running: Promise<T> | undefined;
  let queued: Promise<T> | undefined;

  async function runNext(): Promise<T> {
    // A failure of the current run does not affect callers that wait for the next one.
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
