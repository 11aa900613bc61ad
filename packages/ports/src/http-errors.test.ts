import assert from 'node:assert/strict';
import { test } from 'node:test';

import { neverConnected } from './http-errors.js';

function errorWith(fields: Record<string, string>): Error {
  return Object.assign(new Error('failed'), fields);
}

test('an error while connecting means that nothing was sent', () => {
  for (const code of ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']) {
    assert.ok(neverConnected(errorWith({ code, syscall: 'connect' })));
  }
  assert.ok(neverConnected(errorWith({ code: 'UND_ERR_CONNECT_TIMEOUT' })));
});

test('an error while reading or writing means that the call may have been sent', () => {
  for (const code of ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']) {
    for (const syscall of ['read', 'write']) {
      assert.ok(!neverConnected(errorWith({ code, syscall })));
    }
  }
  assert.ok(!neverConnected(errorWith({ code: 'ECONNRESET' })));
  assert.ok(!neverConnected(undefined));
});
