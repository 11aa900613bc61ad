/** Operators at the command line, and a look at what each entry host has in force. */
import { execFile } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import {
  applyLeaseRecord,
  createLeaseState,
  decodeBatch,
  decodeLeaseRecord,
  leaseStream,
  type Position,
  type StreamRecord,
} from '@paddlewind/domain';
import { OperatorService } from '@paddlewind/protocol';
import type { LogServer } from '@paddlewind/stand-ins';

import type { EntryHost } from './entry-hosts.js';
import type { Recorder } from './recorder.js';

/** What a command line did. */
export interface CliResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

const CLI = fileURLToPath(
  new URL('../../../cli/dist/main.js', import.meta.url),
);
const CLI_LIMIT_MS = 25_000;
const LOOK_EVERY_MS = 300;
const LOOK_TIMEOUT_MS = 1_000;
const CLAIMS_EVERY_MS = 1_000;

/** Runs `paddlewind` against the entry hosts that run. */
export function runOperator(
  entries: readonly EntryHost[],
  args: readonly string[],
): Promise<CliResult> {
  const servers = entries
    .filter(entry => entry.child().running())
    .map(entry => entry.peers);
  const argv = [CLI, ...args, '--server', servers.join(',')];
  return new Promise(resolve => {
    const limit = { timeout: CLI_LIMIT_MS };
    execFile(process.execPath, argv, limit, (error, out, err) => {
      const code = error === null ? 0 : Number(error.code ?? 1);
      resolve({ code, out: out.trim(), err: err.trim() });
    });
  });
}

/** Operators' calls to one entry host. */
export type OperatorClient = Client<typeof OperatorService>;

/** Connects to the operators' calls of an entry host. */
export function connectOperator(entry: EntryHost): OperatorClient {
  const baseUrl = `http://${entry.peers}`;
  const transport = createConnectTransport({ baseUrl, httpVersion: '1.1' });
  return createClient(OperatorService, transport);
}

/** Looks again and again at the configuration that each entry host has in force; returns the stop. */
export function watchConfig(
  entries: readonly EntryHost[],
  recorder: Recorder,
): () => void {
  let stopped = false;
  const clients = entries.map(entry => ({
    entry,
    client: connectOperator(entry),
  }));

  async function watch({ entry, client }: (typeof clients)[number]) {
    while (!stopped) {
      try {
        const found = await client.get(
          { kind: 'weights' },
          { timeoutMs: LOOK_TIMEOUT_MS },
        );
        const offset = Number(found.offset);
        const what = { entry: entry.id, offset, ready: true };
        recorder.record({ type: 'config_seen', ...what });
      } catch {
        // An entry host that is down or not ready has nothing in force.
      }
      await sleep(LOOK_EVERY_MS);
    }
  }

  clients.forEach(client => void watch(client));
  return () => {
    stopped = true;
  };
}

/** Records the claims of shards that count, as the lease stream tells; returns the stop. */
export function watchClaims(
  log: LogServer,
  region: string,
  recorder: Recorder,
): () => void {
  const state = createLeaseState();
  const seen = new Set<string>();
  let next = 0;

  function look(): void {
    const entries = log.memory.entries(leaseStream(region));
    for (const entry of entries.filter(each => each.offset >= next)) {
      next = entry.offset + 1;
      const records = decodeBatch(entry.payload).map(batch => batch.records);
      for (const [index, record] of records.unwrapOr([]).entries()) {
        fold(record, { offset: entry.offset, index });
      }
    }
  }

  function fold(record: StreamRecord, position: Position): void {
    const lease = decodeLeaseRecord(record);
    if (lease.isErr || seen.has(record.id)) {
      return;
    }
    seen.add(record.id);
    const verdict = applyLeaseRecord(state, lease.value, position, 0);
    if (verdict.kind === 'claimed') {
      const { shard, epoch, holder } = verdict.lease;
      const owner = holder?.owner ?? '';
      recorder.record({ type: 'shard_claimed', shard, epoch, owner });
    }
  }

  const timer = setInterval(look, CLAIMS_EVERY_MS);
  return () => {
    clearInterval(timer);
    look();
  };
}
