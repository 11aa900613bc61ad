/** What a part of the job host is given in a test. */
import type { VirtualTime } from '@paddlewind/stand-ins';
import { pino } from 'pino';
import { Registry } from 'prom-client';

import type { HostContext } from './context.js';
import { createJobMeters } from './meters.js';

/** Returns the context of host `h` in virtual time, without chance and with a log that is not written. */
export function testContext({ clock, schedule }: VirtualTime): HostContext {
  return {
    host: 'h',
    clock,
    wallClock: clock,
    random: () => 0.5,
    schedule,
    log: pino({ level: 'silent' }),
    meters: createJobMeters(new Registry()),
  };
}
