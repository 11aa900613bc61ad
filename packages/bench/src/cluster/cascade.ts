/** A small deployment that fits the declarations in examples/cascade. */
import { fileURLToPath } from 'node:url';

import type { Deployment } from './platform.js';

/** Directory of the declarations. */
export const CASCADE_DECLARATIONS = fileURLToPath(
  new URL('../../../../examples/cascade', import.meta.url),
);

/** Host header of the memberlink service. */
export const MEMBERLINK_HOST = 'memberlink.cascade.example';

/** Availability zones of the entry hosts. */
export const ENTRY_ZONES = ['olympia', 'tacoma', 'salem'] as const;

/** Eight workers in four availability zones. */
export const CASCADE: Deployment = {
  region: 'northwest',
  racks: [
    { availabilityZone: 'olympia', rack: 'rack-1' },
    { availabilityZone: 'olympia', rack: 'rack-5' },
    { availabilityZone: 'tacoma', rack: 'rack-2' },
    { availabilityZone: 'tacoma', rack: 'rack-6' },
    { availabilityZone: 'salem', rack: 'rack-3' },
    { availabilityZone: 'salem', rack: 'rack-3' },
    { availabilityZone: 'yakima', rack: 'rack-4' },
    { availabilityZone: 'yakima', rack: 'rack-4' },
  ],
  service: 'memberlink',
  serviceSize: { cpu: 6, memoryMiB: 16_384, accelerators: 0 },
  labels: { pool: 'memberlink' },
  capacity: { cpu: 16, memoryMiB: 61_440, accelerators: 0 },
  slots: 8,
  connections: 64,
};
