/** Metrics of membership. */
import type { Membership } from '@paddlewind/domain';
import { Counter, Gauge, type Registry } from 'prom-client';

/** Counters and gauges of membership. */
export interface MembershipMetrics {
  readonly heartbeats: Counter<'result'>;
  readonly probes: Counter<'result'>;
  readonly listPolls: Counter<'result'>;
  readonly changes: Counter<'state'>;
}

const PEER_STATES = ['ready', 'not_ready', 'leaving', 'suspected'] as const;

/** Registers the metrics in `registry`. */
export function createMembershipMetrics(registry: Registry): MembershipMetrics {
  const registers = [registry];
  return {
    heartbeats: new Counter({
      name: 'paddlewind_membership_heartbeats_total',
      help: 'Heartbeats sent to peers, by result',
      labelNames: ['result'],
      registers,
    }),
    probes: new Counter({
      name: 'paddlewind_membership_probes_total',
      help: 'Probes asked of peers, by result',
      labelNames: ['result'],
      registers,
    }),
    listPolls: new Counter({
      name: 'paddlewind_membership_host_list_polls_total',
      help: 'Reads of the host list, by result',
      labelNames: ['result'],
      registers,
    }),
    changes: new Counter({
      name: 'paddlewind_membership_peer_changes_total',
      help: 'Changes of peers to a state, gone included',
      labelNames: ['state'],
      registers,
    }),
  };
}

/** Registers the gauges that read `membership` at each scrape. */
export function registerMembershipGauges(
  registry: Registry,
  membership: Membership,
  read: { cutOff: () => boolean; listAgeSeconds: () => number },
): void {
  const registers = [registry];
  new Gauge({
    name: 'paddlewind_membership_peers',
    help: 'Peers present, by state',
    labelNames: ['state'],
    registers,
    collect() {
      for (const state of PEER_STATES) {
        const count = membership.members().filter(m => m.state === state);
        this.set({ state }, count.length);
      }
    },
  });
  new Gauge({
    name: 'paddlewind_membership_cut_off',
    help: '1 when no peer has answered for the cut-off time',
    registers,
    collect() {
      this.set(read.cutOff() ? 1 : 0);
    },
  });
  new Gauge({
    name: 'paddlewind_membership_host_list_age_seconds',
    help: 'Time since the host list was last read',
    registers,
    collect() {
      this.set(read.listAgeSeconds());
    },
  });
}
