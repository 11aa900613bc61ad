/** Dependencies of parts of the job host in tests. */
import type { VirtualTime } from '@paddlewind/stand-ins';
import { pino } from 'pino';
import { Registry } from 'prom-client';

import type { HostContext } from './context.js';
import { createJobMeters } from './meters.js';
import { PartTimes } from './part-times.js';
import { StageWaits } from './stage-waits.js';

/** Returns the context of host `h` in virtual time, without randomness and with a silent log. */
export function testContext({ clock, schedule }: VirtualTime): HostContext {
  return {
    host: 'h',
    clock,
    wallClock: clock,
    random: () => 0.5,
    schedule,
    log: pino({ level: 'silent' }),
    meters: createJobMeters(new Registry()),
    times: new PartTimes(clock),
    waits: new StageWaits(),
    isSaturated: () => false,
    busyPercent: () => 0,
  };
}
