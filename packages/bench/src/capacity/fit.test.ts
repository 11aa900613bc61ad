import assert from 'node:assert/strict';
import test from 'node:test';

import { fitLine } from './fit.js';

test('a line is found exactly', () => {
  const points = [1, 2, 5, 9].map(x => ({ x, y: 3 * x + 4 }));
  const { slope, intercept, residual } = fitLine(points);
  assert.ok(Math.abs(slope - 3) < 1e-9);
  assert.ok(Math.abs(intercept - 4) < 1e-9);
  assert.ok(residual < 1e-9);
});

test('a point off the line shows as residual', () => {
  const points = [1, 2, 3, 4].map(x => ({ x, y: x === 3 ? 9 : x }));
  assert.ok(fitLine(points).residual > 0.3);
});
