import assert from 'node:assert/strict';
import { test } from 'node:test';

import { neverConnected } from './http-errors.js';

function errorWith(fields: Record<string, string>): Error {
  return Object.assign(new Error('failed'), fields);
}

test('a connection that never came about carried nothing', () => {
  for (const code of ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']) {
    assert.ok(neverConnected(errorWith({ code, syscall: 'connect' })));
  }
  assert.ok(neverConnected(errorWith({ code: 'UND_ERR_CONNECT_TIMEOUT' })));
});

test('a connection that ends while it reads or writes may have carried a call', () => {
  for (const code of ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']) {
    for (const syscall of ['read', 'write']) {
      assert.ok(!neverConnected(errorWith({ code, syscall })));
    }
  }
  assert.ok(!neverConnected(errorWith({ code: 'ECONNRESET' })));
  assert.ok(!neverConnected(undefined));
});
