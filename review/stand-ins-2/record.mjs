/** Writes what was sent, answered and run to record.txt, with the seconds since the start of the script. */
import { appendFileSync, writeFileSync } from 'node:fs';

export class Record {
  constructor(path) {
    this.path = path;
    this.startedAt = performance.now();
    writeFileSync(path, '');
  }

  /** Seconds since the start of the script. */
  now() {
    return (performance.now() - this.startedAt) / 1000;
  }

  write(line) {
    const stamped = `${this.now().toFixed(3).padStart(8)}  ${line}`;
    appendFileSync(this.path, `${stamped}\n`);
    console.log(stamped);
  }
}

export function sleep(ms) {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}

/** Resolves with true once `condition` holds, or with false after `limitMs`. */
export async function until(condition, limitMs, everyMs = 50) {
  const end = performance.now() + limitMs;
  while (performance.now() < end) {
    if (await condition()) {
      return true;
    }
    await sleep(everyMs);
  }
  return false;
}
