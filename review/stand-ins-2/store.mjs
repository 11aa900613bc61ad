/**
 * Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): a log of topics with stamps of
 * writers, retention, waiting reads, and topics that keep the newest record of each key.
 *
 * Each host reaches it at an address of its own, so that the store can refuse some hosts and serve the others.
 */
import { serve } from './http.mjs';
import { sleep } from './record.mjs';

const REMEMBERED_APPENDS = 5;
const MAX_WAIT_MS = 30_000;

export class Store {
  /** Mode by host: `up`, `silent`, `busy` (503) or `reset`; `*` is the mode for all hosts without one. */
  modes = new Map([['*', 'up']]);
  /** Returns how an append is treated: undefined, or `{ runAfterMs }` if it is not answered and runs later. */
  lateAppend = () => undefined;
  /** Called with each append that was executed: topic, offset, records, host. */
  onAppended = () => undefined;

  constructor({
    keepS,
    appendMs = 2,
    recordBytes = 262_144,
    callBytes = 2_097_152,
  }) {
    this.keepMs = keepS * 1000;
    this.recordBytes = recordBytes;
    this.callBytes = callBytes;
    /** Called with the size of a record or call that is refused, since it is too large. */
    this.onTooLarge = () => undefined;
    this.appendMs = appendMs;
    this.partitions = new Map();
    this.listeners = [];
  }

  /** Returns a new address at which `host` reaches the store. */
  async addressFor(host) {
    const listener = await serve(req => this.handle(host, req));
    this.listeners.push(listener);
    return listener.address;
  }

  close() {
    this.listeners.forEach(listener => listener.close());
  }

  /** Writes the newest value of a key; undefined deletes the key. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const valueBytes =
      value === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(value));
    const record = Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      valueBytes,
    ]);
    this.store(this.partition(topic, '0'), [record]);
  }

  modeOf(host) {
    return this.modes.get(host) ?? this.modes.get('*');
  }

  partition(topic, part) {
    const name = `${topic}/${part}`;
    if (!this.partitions.has(name)) {
      this.partitions.set(name, {
        topic,
        first: 0,
        records: [],
        times: [],
        keyed: topic.startsWith('keyed.'),
        writers: new Map(),
        waiting: [],
        queue: Promise.resolve(),
      });
    }
    const partition = this.partitions.get(name);
    this.expire(partition);
    return partition;
  }

  /** Drops the records that are older than the retention time. */
  expire(partition) {
    const { keyed, times, records } = partition;
    const oldest = performance.now() - this.keepMs;
    while (!keyed && partition.first < records.length) {
      if (times[partition.first] >= oldest) {
        return;
      }
      records[partition.first] = undefined;
      partition.first += 1;
    }
  }

  async handle(host, req) {
    const mode = this.modeOf(host);
    if (mode !== 'up') {
      return this.refusal(mode);
    }
    const query = req.url.searchParams;
    const partition = this.partition(
      query.get('topic') ?? '',
      query.get('part') ?? '0',
    );
    switch (req.url.pathname) {
      case '/v1/log-append':
        return this.handleAppend(host, partition, query, unframe(req.body));
      case '/v1/log-read':
        return this.handleRead(host, partition, query);
      case '/v1/log-newest':
        return { status: 200, body: newest(partition) };
      default:
        return { status: 404, body: {} };
    }
  }

  refusal(mode) {
    switch (mode) {
      case 'busy':
        return { status: 503, body: {} };
      case 'reset':
        return 'reset';
      default:
        return undefined;
    }
  }

  async handleAppend(host, partition, query, records) {
    const sizes = records.map(({ length }) => length);
    const total = sizes.reduce((sum, size) => sum + size, 0);
    if (Math.max(0, ...sizes) > this.recordBytes || total > this.callBytes) {
      this.onTooLarge(partition.topic, host, Math.max(...sizes), total);
      return { status: 400, body: { reason: 'size' } };
    }
    const late = this.lateAppend(partition.topic, host, records);
    if (late !== undefined) {
      await sleep(late.runAfterMs);
      this.append(host, partition, query, records);
      return undefined;
    }
    const turn = partition.queue.then(() => sleep(this.appendMs));
    partition.queue = turn;
    await turn;
    // An answer is lost if the store has become unreachable meanwhile.
    const reply = this.append(host, partition, query, records);
    return this.modeOf(host) === 'up' ? reply : undefined;
  }

  append(host, partition, query, records) {
    const writer = query.get('producer');
    if (writer === null) {
      return this.appendRecords(host, partition, records);
    }
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('sequence'));
    const known = partition.writers.get(writer);
    if (known !== undefined && epoch < known.epoch) {
      return { status: 409, body: { reason: 'fenced' } };
    }
    if (known?.epoch === epoch) {
      const repeated = known.replies.find(each => each.sequence === sequence);
      if (repeated !== undefined) {
        return repeated.reply;
      }
      if (sequence !== known.sequence + 1) {
        return {
          status: 409,
          body: { reason: 'seq', sequence: known.sequence + 1 },
        };
      }
    }
    const reply = this.appendRecords(host, partition, records);
    const replies = known?.epoch === epoch ? known.replies : [];
    partition.writers.set(writer, {
      epoch,
      sequence,
      replies: [...replies, { sequence, reply }].slice(-REMEMBERED_APPENDS),
    });
    return reply;
  }

  appendRecords(host, partition, records) {
    const offset = partition.records.length;
    this.store(partition, records);
    this.onAppended(partition.topic, offset, records, host);
    return {
      status: 200,
      body: { offset, endOffset: partition.records.length },
    };
  }

  store(partition, records) {
    for (const record of records) {
      partition.records.push(record);
      partition.times.push(performance.now());
    }
    partition.waiting.splice(0).forEach(wake => wake());
  }

  async handleRead(host, partition, query) {
    const from = Number(query.get('from'));
    if (from < partition.first) {
      return { status: 410, body: { firstOffset: partition.first } };
    }
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('waitMs') ?? 0));
    if (partition.records.length <= from && waitMs > 0) {
      const arrived = new Promise(resolve => {
        partition.waiting.push(resolve);
      });
      await Promise.race([arrived, sleep(waitMs)]);
    }
    if (this.modeOf(host) !== 'up') {
      return undefined;
    }
    let left = 1024 * Number(query.get('maxKb') ?? 1024);
    const records = [];
    for (const record of partition.records.slice(from)) {
      left -= record.length;
      if (left < 0 && records.length > 0) {
        break;
      }
      records.push(record);
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.records.length), 0);
    head.writeBigUInt64BE(BigInt(partition.first), 8);
    return { status: 200, body: Buffer.concat([head, ...records.map(frame)]) };
  }
}

function newest({ records }) {
  const items = new Map();
  records.forEach((record, offset) => {
    const keyEnd = 1 + record[0];
    const key = record.toString('utf8', 1, keyEnd);
    const value = record.toString('base64', keyEnd);
    if (value === '') {
      items.delete(key);
    } else {
      items.set(key, { key, value, offset });
    }
  });
  return {
    items: [...items.values()],
    hasMore: false,
    endOffset: records.length,
  };
}

function frame(record) {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}

function unframe(body) {
  const records = [];
  for (let at = 0; at + 4 <= body.length;) {
    const length = body.readUInt32BE(at);
    records.push(Buffer.from(body.subarray(at + 4, at + 4 + length)));
    at += 4 + length;
  }
  return records;
}
