/** Metrics of the configuration. */
import type { ConfigVerdict } from '@paddlewind/domain';
import { Counter, Gauge, type Registry } from 'prom-client';

/** Metrics of the configuration on this host. */
export interface ConfigMetrics {
  offsets(served: number, known: number): void;
  inForce(is: boolean): void;
  verdict(kind: ConfigVerdict['kind']): void;
  adopted(): void;
}

/** Registers the metrics. */
export function createConfigMetrics(registry: Registry): ConfigMetrics {
  const registers = [registry];
  const served = new Gauge({
    name: 'paddlewind_config_offset',
    help: 'Offset of the configuration in force on this host.',
    registers,
  });
  const known = new Gauge({
    name: 'paddlewind_config_known_offset',
    help: 'Highest offset of the configuration that this host knows of.',
    registers,
  });
  const inForce = new Gauge({
    name: 'paddlewind_config_in_force',
    help: '1 while this host may serve by its configuration, else 0.',
    registers,
  });
  const verdicts = new Counter({
    name: 'paddlewind_config_verdicts_total',
    help: 'Records of the configuration stream by verdict.',
    labelNames: ['verdict'],
    registers,
  });
  const adopted = new Counter({
    name: 'paddlewind_config_adopted_snapshots_total',
    help: 'Snapshots of the configuration taken over from peers.',
    registers,
  });
  return {
    offsets: (ours, highest) => {
      served.set(ours);
      known.set(highest);
    },
    inForce: is => {
      inForce.set(is ? 1 : 0);
    },
    verdict: kind => {
      verdicts.inc({ verdict: kind });
    },
    adopted: () => {
      adopted.inc();
    },
  };
}
