import assert from 'node:assert/strict';
import test from 'node:test';

import { parseSettings, readSettings } from './read.js';

const VALID = {
  host: { id: 'entry-1', region: 'northwest', availabilityZone: 'salem' },
  router: { listen: '127.0.0.1:0' },
  peers: { listen: '127.0.0.1:0' },
  admin: { listen: '127.0.0.1:0' },
  platform: {
    log: '127.0.0.1:1',
    hostList: '127.0.0.1:2',
  },
};

function errorsOf(change: object): string[] {
  const text = JSON.stringify({ ...VALID, ...change });
  const parsed = parseSettings(text, 'settings.json');
  return parsed.isErr ? parsed.error.map(err => err.message) : [];
}

test('valid settings get defaults', () => {
  const parsed = parseSettings(JSON.stringify(VALID), 'settings.json');
  assert.ok(parsed.isOk);
  assert.equal(parsed.value.logLevel, 'info');
  assert.equal(parsed.value.scheduler.shardLeaseMs, 10_000);
});

test('an error names the path, the expected format and the value', () => {
  const [error] = errorsOf({ admin: { listen: 'localhost' } });
  assert.match(error ?? '', /^admin\.listen: expected an IPv4 .*"localhost"$/);
});

test('unknown keys are rejected', () => {
  assert.match(errorsOf({ colour: 'red' })[0] ?? '', /colour/);
});

test('all errors are reported together', () => {
  assert.equal(errorsOf({ logLevel: 'loud', admin: {} }).length, 2);
});

test('broken JSON and a missing file are invalid', () => {
  const broken = parseSettings('{', 'settings.json');
  assert.equal(broken.isErr && broken.error[0]?.kind, 'invalid');
  const missing = readSettings('no-such-file.json');
  assert.equal(missing.isErr && missing.error[0]?.kind, 'invalid');
});
