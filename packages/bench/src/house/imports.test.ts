import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize, relative } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const RELATIVE_IMPORT = /from '(\.[^']+)\.js'/gu;

type Graph = ReadonlyMap<string, readonly string[]>;

function sourceFolders(): string[] {
  const packages = readdirSync(join(ROOT, 'packages'));
  return [
    ...packages.map(name => join(ROOT, 'packages', name, 'src')),
    join(ROOT, 'platform', 'src'),
  ];
}

/** Source files with the files of their own package that they import, types included. */
function readImports(): Graph {
  const graph = new Map<string, readonly string[]>();
  for (const folder of sourceFolders()) {
    for (const name of readdirSync(folder, { recursive: true })) {
      const file = join(folder, String(name));
      if (file.endsWith('.ts')) {
        const found = readFileSync(file, 'utf8').matchAll(RELATIVE_IMPORT);
        const imported = [...found].map(([, path = '']) =>
          normalize(join(dirname(file), `${path}.ts`)),
        );
        graph.set(file, imported);
      }
    }
  }
  return graph;
}

/** Returns one circle of imports, empty when there is none. */
function findCircle(graph: Graph): string[] {
  const done = new Set<string>();
  const path: string[] = [];

  function visit(file: string): string[] {
    const at = path.indexOf(file);
    if (at >= 0) {
      return [...path.slice(at), file];
    }
    if (done.has(file)) {
      return [];
    }
    path.push(file);
    for (const next of graph.get(file) ?? []) {
      const circle = visit(next);
      if (circle.length > 0) {
        return circle;
      }
    }
    path.pop();
    done.add(file);
    return [];
  }

  for (const file of graph.keys()) {
    const circle = visit(file);
    if (circle.length > 0) {
      return circle.map(found => relative(ROOT, found));
    }
  }
  return [];
}

test('a circle of imports is found', () => {
  const graph = new Map([
    ['a', ['b']],
    ['b', ['c', 'd']],
    ['c', []],
    ['d', ['b']],
  ]);
  assert.equal(findCircle(graph).length, 3);
});

test('no file imports itself through others', () => {
  assert.deepEqual(findCircle(readImports()), []);
});
