import assert from 'node:assert/strict';
import test, { type TestContext } from 'node:test';

import {
  createHttpWorkerAgent,
  type AgentCommand,
  type AttemptReport,
  type Fence,
  type StartSpec,
  type WorkerReport,
} from '@paddlewind/ports';

import { memorySink, type StandInEvent } from '../events/events.js';
import { startWorkerServer, type WorkerFaults } from './worker-server.js';

const FENCE: Fence = { shard: 's1', epoch: 3, offset: 10 };
const REF = { task: 't1', attempt: 1 };
const SIZE = { cpu: 2, memoryMiB: 512, accelerators: 0 };
const ENOUGH_POLLS = 500;

function startOf(seconds: string, more: Partial<StartSpec> = {}): AgentCommand {
  const command = ['sleep', seconds];
  const spec = { ...REF, job: 'j', size: SIZE, command, leaseMs: 60_000 };
  return { kind: 'start', fence: FENCE, spec: { ...spec, ...more } };
}

async function setUp(t: TestContext, faults: Partial<WorkerFaults> = {}) {
  const { sink, events } = memorySink<StandInEvent>();
  const server = await startWorkerServer({
    worker: 'w1',
    capacity: { cpu: 16, memoryMiB: 61_440, accelerators: 0 },
    faults: { lagMs: 0, ...faults },
    onEvent: sink,
  });
  const agent = createHttpWorkerAgent({ timeoutMs: 10_000 });
  t.after(async () => {
    await agent.close();
    await server.close();
  });
  const sync = (more: object = {}, fence = FENCE) =>
    agent.sync(server.address, {
      fence,
      renew: [],
      leaseMs: 60_000,
      acknowledge: [],
      ...more,
    });
  async function report(): Promise<WorkerReport> {
    const synced = await sync();
    assert.ok(synced.isOk);
    return synced.value;
  }
  async function until(state: string): Promise<AttemptReport> {
    for (let poll = 0; poll < ENOUGH_POLLS; poll++) {
      const found = (await report()).attempts.find(a => a.state === state);
      if (found !== undefined) {
        return found;
      }
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.fail(`no attempt came to be ${state}`);
  }
  const command = (cmd: AgentCommand) => agent.command(server.address, cmd);
  return { server, events, agent, sync, report, until, command };
}

test('a task runs to its end and is reported until acknowledged', async t => {
  const { command, until, sync, events, report } = await setUp(t);
  assert.ok((await command(startOf('0.05'))).isOk);
  const done = await until('completed');
  assert.equal(done.progress, 1);
  await sync({ acknowledge: [REF] });
  assert.deepEqual((await report()).attempts, []);
  assert.deepEqual(
    events.map(event => event.type),
    ['worker_up', 'task_began', 'task_ended'],
  );
});

test('a start sent again has no effect, even after the end', async t => {
  const { command, until, sync, events } = await setUp(t);
  await command(startOf('0.02'));
  await command(startOf('0.02'));
  await until('completed');
  await sync({ acknowledge: [REF] });
  assert.ok((await command(startOf('0.02'))).isOk);
  const began = events.filter(event => event.type === 'task_began');
  assert.equal(began.length, 1);
});

test('a stop that overtakes its start prevents it', async t => {
  const { command, until, events } = await setUp(t);
  await command({ kind: 'stop', fence: FENCE, ref: REF, graceMs: 10 });
  await command(startOf('1'));
  await until('stopped');
  assert.ok(events.every(event => event.type !== 'task_began'));
});

test('an older epoch and an older decision are refused', async t => {
  const { command, sync } = await setUp(t);
  await command(startOf('5'));
  const old = { ...FENCE, epoch: 2, offset: 99 };
  const late = await command({
    kind: 'stop',
    fence: old,
    ref: REF,
    graceMs: 0,
  });
  assert.equal(late.isErr && late.error.kind, 'conflict');
  const overtaken = { ...FENCE, offset: 9 };
  const stop = {
    kind: 'stop',
    fence: overtaken,
    ref: REF,
    graceMs: 0,
  } as const;
  const older = await command(stop);
  assert.equal(older.isErr && older.error.kind, 'conflict');
  const synced = await sync({}, old);
  assert.equal(synced.isErr && synced.error.kind, 'conflict');
});

test('a task whose lease lapses stops; renewal keeps it', async t => {
  const { command, until, sync } = await setUp(t);
  await command(startOf('20', { leaseMs: 500 }));
  await sync({ renew: [REF], leaseMs: 60 });
  const lapsed = await until('stopped');
  assert.equal(lapsed.message, 'The lease lapsed.');
});

test('a checkpoint carries its progress to the next attempt', async t => {
  const { command, until, report, events } = await setUp(t);
  await command(startOf('30'));
  await new Promise(resolve => setTimeout(resolve, 30));
  await command({ kind: 'checkpoint', fence: FENCE, ref: REF });
  await command({ kind: 'stop', fence: FENCE, ref: REF, graceMs: 100 });
  const { checkpoint, progress } = await until('stopped');
  assert.ok(checkpoint !== undefined && progress > 0);
  await command(startOf('30', { attempt: 2, checkpoint }));
  assert.equal((await report()).attempts.length, 2);
  const began = events.findLast(event => event.type === 'task_began');
  assert.equal(began?.resumedAt, progress);
});

test('a throttled task uses less', async t => {
  const { command, until } = await setUp(t);
  await command(startOf('30'));
  await command({ kind: 'throttle', fence: FENCE, ref: REF, share: 0.25 });
  assert.equal((await until('running')).usage.cpu, 0.5);
});

test('usage is not seen before the lag', async t => {
  const { command, until } = await setUp(t, { lagMs: 60_000 });
  await command(startOf('30'));
  assert.equal((await until('running')).usage.cpu, 0);
});

test('a worker that fails everything fails a sound task', async t => {
  const { command, until } = await setUp(t, { failEverything: true });
  await command(startOf('30'));
  await until('failed');
});

test('a restarted agent has a new boot and no tasks', async t => {
  const { server, command, report, events } = await setUp(t);
  await command(startOf('30'));
  const before = await report();
  server.restart();
  const after = await report();
  assert.notEqual(after.boot, before.boot);
  assert.deepEqual(after.attempts, []);
  const ended = events.find(event => event.type === 'task_ended');
  assert.equal(ended?.end, 'agent_restarted');
});

test('a lost answer of a command is of unknown outcome', async t => {
  const { server, command, until } = await setUp(t, { loseAnswers: 1 });
  const started = await command(startOf('30'));
  assert.equal(started.isErr && started.error.outcome, 'unknown');
  await until('running');
  await server.close();
  const refused = await command(startOf('30'));
  assert.equal(refused.isErr && refused.error.outcome, 'not_run');
});
