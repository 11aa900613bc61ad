/** What reading the host list takes, by the hosts on it: whole, and when nothing has changed. */
import { createHttpHostList, type Host } from '@paddlewind/ports';
import { startHostListServer } from '@paddlewind/stand-ins';

import { report } from '../report.js';
import { fitLine } from './fit.js';

const SIZES = [310, 1_000, 3_100];
const POLLS = 20;

function hostAt(index: number): Host {
  return {
    id: `worker-${index}`,
    role: 'worker',
    state: 'live',
    address: `10.0.${index >> 8}.${index & 255}:7500`,
    region: `region-${index % 5}`,
    availabilityZone: `zone-${index % 14}`,
    rack: `rack-${index >> 3}`,
    labels: { pool: `service-${index % 10}` },
    capacity: { cpu: 16, memoryMiB: 61_440, accelerators: 0 },
    endpoints: { portal: `10.0.${index >> 8}.${index & 255}:8080` },
  };
}

/** Processor time of a poll in milliseconds, the stand-in's share included. */
async function pollMs(count: number, changes: boolean): Promise<number> {
  const hosts = Array.from({ length: count }, (_, i) => hostAt(i));
  const server = await startHostListServer({ hosts });
  const list = createHttpHostList(server.address);
  await list.list();
  const before = process.cpuUsage();
  for (let i = 0; i < POLLS; i++) {
    if (changes) {
      server.put({ ...hostAt(0), labels: { change: `${i}` } });
    }
    await list.list();
  }
  const { user, system } = process.cpuUsage(before);
  await list.close();
  await server.close();
  return (user + system) / 1_000 / POLLS;
}

/** Measures the role. */
export async function measureHostList(): Promise<void> {
  for (const changes of [true, false]) {
    const points = [];
    for (const count of SIZES) {
      points.push({ x: count, y: await pollMs(count, changes) });
    }
    report({
      bench: 'capacity',
      role: 'host list follower',
      quantity: changes ? 'poll of a changed list' : 'poll of the same list',
      unit: 'milliseconds',
      per: 'hosts',
      ...fitLine(points),
      points: points.map(({ x, y }) => `${x}:${y.toFixed(2)}`).join(' '),
    });
  }
  const bytes = JSON.stringify({ hosts: SIZES.map(hostAt) }).length;
  report({
    bench: 'capacity',
    role: 'host list follower',
    quantity: 'bytes of a host',
    unit: 'bytes',
    slope: Math.round(bytes / SIZES.length),
  });
}
