/** Stand-in of the platform's metadata store: a log with topics, as PROTOCOL.md describes it. */
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const MAX_ITEMS = 500;
/** Largest record, and the total of one call, as the settings of the hosts tell them. */
export const RECORD_BYTES = 262_144;
export const CALL_BYTES = 2_097_152;
/** Appends of a producer whose first answers are repeated. */
const REPEATED_APPENDS = 5;

/** One partition: records with offsets, and what each producer has appended last. */
class Partition {
  constructor(isKeyed) {
    this.isKeyed = isKeyed;
    this.records = [];
    this.first = 0;
    this.end = 0;
    this.newest = new Map();
    this.producers = new Map();
    this.waiting = new Set();
  }

  append(records) {
    const offset = this.end;
    for (const bytes of records) {
      this.records.push({ bytes, at: performance.now() });
      if (this.isKeyed) {
        this.noteKeyed(bytes, this.end);
      }
      this.end += 1;
    }
    for (const wake of this.waiting) {
      wake();
    }
    return { offset, endOffset: this.end };
  }

  noteKeyed(bytes, offset) {
    const keyEnd = 1 + bytes[0];
    const key = bytes.toString('utf8', 1, keyEnd);
    if (keyEnd === bytes.length) {
      this.newest.delete(key);
    } else {
      this.newest.set(key, { value: bytes.subarray(keyEnd), offset });
    }
  }

  expire(before) {
    while (this.records.length > 0 && this.records[0].at < before) {
      this.records.shift();
      this.first += 1;
    }
  }

  /** Appends under a producer's stamp; returns status and body of the answer. */
  appendStamped(records, { producer, epoch, sequence }) {
    const known = this.producers.get(producer) ?? { epoch: -1, answers: [] };
    if (epoch < known.epoch) {
      return [409, { reason: 'fenced' }];
    }
    if (epoch === known.epoch) {
      const repeated = known.answers.find(([at]) => at === sequence);
      if (repeated !== undefined) {
        return [200, repeated[1]];
      }
      const expected = known.answers.at(-1)[0] + 1;
      if (sequence !== expected) {
        return [409, { reason: 'seq', sequence: expected }];
      }
    }
    const answer = this.append(records);
    const earlier = epoch === known.epoch ? known.answers : [];
    const answers = [...earlier, [sequence, answer]].slice(-REPEATED_APPENDS);
    this.producers.set(producer, { epoch, answers });
    return [200, answer];
  }
}

/** The store; `keepS` is its retention in seconds. */
export class Store {
  constructor({ keepS, answerMs = 4 }) {
    this.keepMs = keepS * 1000;
    this.answerMs = answerMs;
    this.partitions = new Map();
    /** Returns after how many milliseconds an append whose answer is lost is carried out; undefined for others. */
    this.lateAppendMs = () => undefined;
    /** Called with each append that is refused because of its size. */
    this.onTooLarge = () => undefined;
    /** Whether calls are left without an answer and without an effect. */
    this.isDown = false;
  }

  async start() {
    this.server = createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 120_000;
    await new Promise(done => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.expiry = setInterval(() => {
      for (const partition of this.partitions.values()) {
        partition.expire(performance.now() - this.keepMs);
      }
    }, 100);
  }

  stop() {
    clearInterval(this.expiry);
    this.server.close();
    this.server.closeAllConnections();
  }

  partition(topic, part = '0') {
    const key = `${topic}/${part}`;
    let found = this.partitions.get(key);
    if (found === undefined) {
      found = new Partition(topic.startsWith('keyed.'));
      this.partitions.set(key, found);
    }
    return found;
  }

  /** Writes a value under a key, as the operator and the workers do. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const bytes = Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      Buffer.from(JSON.stringify(value)),
    ]);
    this.partition(topic).append([bytes]);
  }

  async handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const query = url.searchParams;
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    const body = Buffer.concat(chunks);
    if (this.isDown) {
      return;
    }
    await sleep(this.answerMs / 2);
    const partition = this.partition(query.get('topic'), query.get('part'));
    switch (url.pathname) {
      case '/v1/log-append':
        await this.handleAppend(query, body, partition, res);
        return;
      case '/v1/log-read':
        await this.handleRead(query, partition, res);
        return;
      case '/v1/log-newest':
        reply(res, 200, newestPage(partition, query.get('dependsOn')));
        return;
      default:
        reply(res, 404, {});
    }
  }

  async handleAppend(query, body, partition, res) {
    const topic = query.get('topic');
    if (topic === 'keyed.op' || topic === 'keyed.servers') {
      reply(res, 403, {});
      return;
    }
    const records = unframe(body);
    const totalBytes = records.reduce((sum, { length }) => sum + length, 0);
    const isTooLarge = records.some(({ length }) => length > RECORD_BYTES);
    if (isTooLarge || totalBytes > CALL_BYTES) {
      this.onTooLarge({ topic, records: records.length, totalBytes });
      reply(res, 400, { reason: 'size' });
      return;
    }
    const append = () => {
      if (!query.has('producer')) {
        return [200, partition.append(records)];
      }
      return partition.appendStamped(records, {
        producer: query.get('producer'),
        epoch: Number(query.get('epoch')),
        sequence: Number(query.get('sequence')),
      });
    };
    const lateMs = this.lateAppendMs(topic, records);
    if (lateMs !== undefined) {
      // The answer is lost: this connection returns nothing further.
      await sleep(lateMs);
      append();
      return;
    }
    const [status, answer] = append();
    await sleep(this.answerMs / 2);
    reply(res, status, answer);
  }

  async handleRead(query, partition, res) {
    const from = Number(query.get('from'));
    const waitMs = Math.min(30_000, Number(query.get('waitMs') ?? 0));
    if (from >= partition.end && waitMs > 0) {
      await new Promise(done => {
        const wake = () => {
          clearTimeout(timer);
          partition.waiting.delete(wake);
          done();
        };
        const timer = setTimeout(wake, waitMs);
        partition.waiting.add(wake);
      });
    }
    if (from < partition.first) {
      reply(res, 410, { firstOffset: partition.first });
      return;
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.end), 0);
    head.writeBigUInt64BE(BigInt(partition.first), 8);
    const maxBytes = 1024 * Number(query.get('maxKb') ?? 1024);
    const parts = [head];
    let size = 0;
    for (const { bytes } of partition.records.slice(from - partition.first)) {
      size += 4 + bytes.length;
      if (size > maxBytes && parts.length > 1) {
        break;
      }
      const length = Buffer.alloc(4);
      length.writeUInt32BE(bytes.length);
      parts.push(length, bytes);
    }
    res.writeHead(200, { 'content-type': 'application/octet-stream' });
    res.end(Buffer.concat(parts));
  }
}

function newestPage(partition, after) {
  const keys = [...partition.newest.keys()].sort();
  const rest = keys.filter(key => after === null || key > after);
  const items = rest.slice(0, MAX_ITEMS).map(key => {
    const { value, offset } = partition.newest.get(key);
    return { key, value: value.toString('base64'), offset };
  });
  const hasMore = rest.length > items.length;
  return { items, hasMore, endOffset: partition.end };
}

function unframe(body) {
  const records = [];
  for (let at = 0; at + 4 <= body.length;) {
    const end = at + 4 + body.readUInt32BE(at);
    records.push(body.subarray(at + 4, end));
    at = end;
  }
  return records;
}

function reply(res, status, body) {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}
