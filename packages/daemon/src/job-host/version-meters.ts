/** Metric of the versions of workers. */
import type { ServiceVersions } from '@paddlewind/domain/jobs';
import { Gauge, type Registry } from 'prom-client';

/** Records the versions of workers. */
export interface VersionMeters {
  /** The leader has read the versions of its fleet's workers; the list is empty on hosts that do not lead. */
  readonly workerVersions: (versions: readonly ServiceVersions[]) => void;
}

/** Registers the metric. */
export function createVersionMeters(registry: Registry): VersionMeters {
  const workerCount = new Gauge({
    name: 'paddlewind_jobs_workers',
    help: "Registered workers of the leader's fleet that state a version, by service and version; none on other hosts.",
    labelNames: ['service', 'version'],
    registers: [registry],
  });
  return {
    workerVersions: versions => {
      workerCount.reset();
      for (const { service, workers } of versions) {
        for (const [version, count] of Object.entries(workers)) {
          workerCount.set({ service, version }, count);
        }
      }
    },
  };
}
