import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import test from 'node:test';

import { referencePages } from './pages.js';

test('reference pages are current', async () => {
  for (const { file, text } of await referencePages()) {
    const url = new URL(`../../../../${file}`, import.meta.url);
    assert.equal(
      readFileSync(url, 'utf8'),
      text,
      `${file}: run npm run reference`,
    );
  }
});
