"""Prints the drawn day of a seed, as it was played for the second review: python3 drawn-days.py SEED [with-machines].

`with-machines` is the later form, which adds machines in six of ten days.
"""

import random
import sys


def gen(seed, with_machines):
    r = random.Random(seed)
    U = r.uniform
    C = r.choice
    L = C([40, 60, 80, 92])
    dens = C([4, 8, 14, 22])

    def k(at):
        f = lambda m, lo=.4: round(U(lo*m, m), 3)
        opts = [
            ('f', dict(kind='after_ack_kill', for_s=f(3), how=C(['', 'kill', 'timed', 'taken', 'taken', 'kill taken']))),
            ('f', dict(kind='applied_late', x=f(.055, .8), for_s=f(5.5), how=C(['orders', 'grants', 'all', '']))),
            ('f', dict(kind='burst', x=f(2.6), for_s=f(6), **({'class': 'plan-konform'}))),
            ('f', dict(kind='srv_grey', how=C(['errors', 'shed', 'busy', 'hang', 'reset', 'mute']), share=f(.1), x=1.0, for_s=f(6.5))),
            ('f', dict(kind='give_up', share=f(.4), for_s=f(12), how=C(['', 'once', 'prompt']))),
            ('f', dict(kind='clock_step', share=f(.28), x=f(2400), for_s=f(6), how=C(['leader', 'back', 'ahead', 'leader back', 'leader ahead']))),
            ('p', dict(kind='config_change', how=C(['route', 'weights', 'timeout', 'tenant', 'idle', 'quota']))),
            ('p', dict(kind='config_storm', for_s=f(4), gap_s=.33)),
            ('f', dict(kind='core_cut', count=1, for_s=f(5.5), how=C(['leader', 'leader one_way', 'leader all', 'leader reset', 'leader near', 'leader race', 'leader meet', 'renewed', 'giver all']))),
            ('f', dict(kind='node_kill', on='core', count=1, for_s=f(3.5), how=C(['leader', 'leader race', 'giver', 'leader race drain', 'leader power', 'renewed']))),
            ('f', dict(kind='herd_kill', on='core', share=1.0, how=C(['power', '', 'off', 'taken']), for_s=f(9.5, .1))),
            ('f', dict(kind='herd_kill', share=.55, for_s=2.0, how=C(['power', '']))),
            ('f', dict(kind='srv_slow', share=f(.17), x=f(6.5), for_s=f(7))),
            ('f', dict(kind='node_cut', share=f(.35), for_s=f(12), how=C(['', 'meet', 'all', 'reset', 'one_way']))),
            ('f', dict(kind='node_cut', share=.17, for_s=f(5.5), service='byggeportal', how=C(['servers', 'servers one_way', 'servers reborn', 'servers reset']))),
            ('f', dict(kind='node_freeze', on='core', count=1, for_s=f(4), how=C(['leader', 'renewed', 'giver', 'leader race', '']))),
            ('f', dict(kind='node_slow', share=.15, x=f(5.5), for_s=f(5.5), how=C(['', 'leader']))),
            ('f', dict(kind='platform_compact', x=f(6), for_s=f(12), how=C(['keyed', 'rebalance rewind', 'rewind', '']))),
            ('f', dict(kind='platform_down', for_s=f(4.5), how=C(['busy', 'silent', 'reset', 'busy lapse', 'silent lapse']))),
            ('f', dict(kind='platform_down', for_s=f(9), share=.35, how=C(['nodes busy', 'nodes many', 'nodes reset', 'nodes silent', 'nodes leader silent', 'nodes leader busy', 'nodes leader reset', 'nodes silent revoke meet']))),
            ('f', dict(kind='platform_lost', x=f(.35, .7), for_s=f(4.5), how=C(['', 'late', 'late']))),
            ('f', dict(kind='platform_slow', x=f(72), for_s=f(4.5))),
            ('f', dict(kind='poison', share=.05, for_s=3.0, **({'class': C(['plan-konform', 'nabo-hoering'])}))),
            ('f', dict(kind='replace_core', x=f(4), how=C(['leader', '', 'seed']))),
            ('p', dict(kind='roll_term', share=C([.45, 1.0]), x=1.0, gap_s=C([1.3, 2.0]), how=C(['', 'busy', 'leader', 'starter']))),
            ('p', dict(kind='scale_in', share=.065, how=C(['', 'spot']))),
            ('f', dict(kind='srv_crash', share=f(.14), for_s=f(4.5), how=C(['', 'dark', 'gone', 'joined']))),
            ('f', dict(kind='srv_cut', share=.2, for_s=5.0, how=C(['', 'fronts', 'one_way', 'reset', 'reborn', 'some']))),
            ('p', dict(kind='hup', share=.3)),
            ('f', dict(kind='reset_conns', share=.1, x=.5)),
            ('f', dict(kind='platform_lost', x=.35, for_s=4.5, how='late')),
            ('f', dict(kind='applied_late', x=.055, for_s=5.5, how='all')),
        ]
        w, d = C(opts)
        return w, dict(at=round(at, 2), **d)

    plan = []
    faults = []
    n = max(3, int(dens*L/60))
    if with_machines and r.random() < .6:
        plan.append(dict(at=round(U(0.5, 8), 2), kind='add_nodes', share=.75))
    clustered = r.random() < .5
    while len(plan)+len(faults) < min(n, 38):
        c = U(1, L-6)
        w, d = k(c)
        (plan if w == 'p' else faults).append(d)
        if clustered and len(plan)+len(faults) < min(n, 38):
            w, d = k(min(L-1, c+U(0, 2.5)))
            (plan if w == 'p' else faults).append(d)
    cl = C([None, dict(kind='power_off_all', down_s=1.1, how='taken'), dict(kind='kill_all', down_s=1.4), dict(kind='power_off_all', down_s=1.1, how='all')])
    by_time = lambda x: x['at']
    return dict(name=f'd{seed}', length_s=L, plan=sorted(plan, key=by_time), faults=sorted(faults, key=by_time), closing=cl)


def val(v):
    return '"%s"' % v if isinstance(v, str) else repr(v)


def inl(d):
    return '{ ' + ', '.join(f'{a} = {val(b)}' for a, b in d.items()) + ' }'


def toml(d):
    s = '[[day]]\nname = "%s"\nlength_s = %s\n' % (d['name'], float(d['length_s']))
    if d['closing']:
        s += 'closing = ' + inl(d['closing']) + '\n'
    for w in ('plan', 'faults'):
        s += w + ' = [\n' + ''.join('  ' + inl(x) + ',\n' for x in d[w]) + ']\n'
    return s


if __name__ == '__main__':
    print(toml(gen(int(sys.argv[1]), 'with-machines' in sys.argv[2:])))
