/** What following the configuration takes: state by object, processor time and bytes by change. */
import {
  changeSetRecord,
  createConfigLedger,
  encodeBatch,
  type ConfigLedger,
} from '@paddlewind/domain';

import { cpuMicroseconds, retainedBytes } from '../heap.js';
import { measure } from './measure.js';

/** 100 shards, 79 teams, some hundred services and policies, and drained workers. */
const DESIGNED_OBJECTS = 1_000;
const CHANGES = 400;

function changeOf(index: number, baseVersion: number) {
  const name = `team-${index}`;
  const quota = { cpu: 100 + (baseVersion % 7), memoryMiB: 100_000 };
  const declaration = { kind: 'team', name, quota };
  const change = { kind: 'team', name, baseVersion, declaration };
  return changeSetRecord({ id: `${name}@${baseVersion}`, changes: [change] });
}

function ledgerOf(objects: number): ConfigLedger {
  const ledger = createConfigLedger();
  for (let i = 0; i < objects; i++) {
    ledger.fold([changeOf(i, 0)], i + 1);
  }
  return ledger;
}

function microsecondsPerChange(objects: number): number {
  const ledger = ledgerOf(objects);
  let offset = objects;
  const versions = new Map<number, number>();
  const spent = cpuMicroseconds(() => {
    for (let i = 0; i < CHANGES; i++) {
      const index = i % objects;
      const record = changeOf(index, versions.get(index) ?? index + 1);
      offset += 1;
      ledger.fold([record], offset);
      versions.set(index, offset);
    }
  });
  return spent / CHANGES;
}

/** Measures the role. */
export function measureConfigFollower(): void {
  const role = 'config follower';
  const sizes = [250, 500, 1_000, 2_000];
  const common = { role, per: 'objects', sizes, designed: DESIGNED_OBJECTS };
  measure({
    ...common,
    quantity: 'state',
    unit: 'bytes',
    at: objects => retainedBytes(() => ledgerOf(objects)),
  });
  measure({
    ...common,
    quantity: 'processor time a change',
    unit: 'microseconds',
    at: microsecondsPerChange,
  });
  measure({
    role,
    quantity: 'bytes read',
    unit: 'bytes',
    per: 'changes',
    sizes: [1, 10, 100],
    designed: 1,
    at: changes =>
      Array.from(
        { length: changes },
        (_, i) => encodeBatch([changeOf(i, 1_000)]).length,
      ).reduce((sum, bytes) => sum + bytes, 0),
  });
}
