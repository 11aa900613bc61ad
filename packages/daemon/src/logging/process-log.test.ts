import assert from 'node:assert/strict';
import { mock, test } from 'node:test';

import { createRateLimitedLog } from './process-log.js';

interface Line {
  readonly msg: string;
  readonly kind?: string;
  readonly lines?: number;
}

test('a burst of one message is cut to its limit and the suppressed lines are counted', () => {
  mock.timers.enable({ apis: ['setInterval'] });
  const written: Line[] = [];
  const log = createRateLimitedLog('h', () => 0, {
    write: text => {
      written.push(JSON.parse(text) as Line);
    },
  });
  for (let order = 0; order < 5_000; order += 1) {
    log.info({ order }, 'worker: an order was not accepted');
    log.info({ order }, 'leader: a run is ordered');
  }
  mock.timers.tick(1_000);
  mock.timers.reset();
  const count = (msg: string): number =>
    written.filter(line => line.msg === msg).length;
  assert.equal(count('worker: an order was not accepted'), 1_000);
  assert.equal(count('leader: a run is ordered'), 5_000);
  const reports = written.filter(({ kind }) => kind !== undefined);
  assert.equal(reports.length, 1);
  assert.equal(reports[0]?.kind, 'worker: an order was not accepted');
  assert.equal(reports[0].lines, 4_000);
});
