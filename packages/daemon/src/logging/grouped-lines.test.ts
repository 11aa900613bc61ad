/*
 * Guards against a write for each line: with one, an eighth of the processor time of a busy leader went into
 * writing its log.
 */
import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setImmediate } from 'node:timers/promises';
import { test } from 'node:test';

import { createGroupedLines } from './grouped-lines.js';

/** Turns of the event loop within which a small write ends. */
const MAX_TURNS = 100_000;

test('lines of one moment are written together, and all of them', async () => {
  const directory = mkdtempSync(join(tmpdir(), 'lines-'));
  const file = join(directory, 'log');
  writeFileSync(file, '');
  const due: (() => void)[] = [];
  const lines = createGroupedLines(file, (_delay, task) => {
    due.push(task);
    return () => undefined;
  });
  const expected = Array.from({ length: 20 }, (_, at) => `line ${at}\n`);
  expected.forEach(line => {
    lines.write(line);
  });
  assert.equal(due.length, 1);
  assert.equal(readFileSync(file, 'utf8'), '');
  due.forEach(task => {
    task();
  });
  for (let turn = 0; turn < MAX_TURNS; turn += 1) {
    if (readFileSync(file, 'utf8') !== '') {
      break;
    }
    await setImmediate();
  }
  assert.equal(readFileSync(file, 'utf8'), expected.join(''));
  rmSync(directory, { recursive: true });
});
