/** Polling for a condition. */
import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MS = 50;

/** Polls until `probe` resolves to a value; undefined when `limitMs` passes first. */
export async function until<T>(
  probe: () => Promise<T | undefined> | T | undefined,
  limitMs: number,
  pollMs = POLL_MS,
): Promise<T | undefined> {
  const deadline = performance.now() + limitMs;
  for (;;) {
    const value = await probe();
    if (value !== undefined) {
      return value;
    }
    if (performance.now() > deadline) {
      return undefined;
    }
    await sleep(pollMs);
  }
}
