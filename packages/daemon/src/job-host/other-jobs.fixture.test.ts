/** Other jobs beside the one that a test is about. */
import type { Millis } from '@paddlewind/domain';
import { decodeJournal } from '@paddlewind/domain/jobs';

import type { Simulation } from './simulation.fixture.test.js';

const SCRIPT = { runMs: 300, failures: 0 };
const INTERVAL_MS: Millis = 1_000;

/** Submits a job a second. Their records in the journal make hosts that start read the inbox first. */
export async function submitOthers(
  site: Simulation,
  count: number,
): Promise<void> {
  for (let at = 0; at < count; at += 1) {
    const id = at.toString(16).padStart(16, '0');
    await site.submit(id, [{ tasks: 1, after: [] }], SCRIPT);
    await site.wait(INTERVAL_MS);
  }
}

/** Returns the number of recorded starts of a job's runs. */
export function startsOf(site: Simulation, job: string): number {
  const records = site.log.recordsOf('journal').map(decodeJournal);
  return records.filter(
    record => record?.kind === 'start' && record.task.job === job,
  ).length;
}
