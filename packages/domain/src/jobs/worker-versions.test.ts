/*
 * Guards against a wrong newest version: long-running tasks would then prefer the workers that leave next, and
 * move several times during one release.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  compareVersions,
  OTHER_VERSIONS,
  WorkerVersions,
  type VersionedWorker,
} from './worker-versions.js';

/** Builds workers from `id:version`, with a `-` at the end of those that are leaving. */
function workersOf(...texts: readonly string[]): VersionedWorker[] {
  return texts.map(text => {
    const leaving = text.endsWith('-');
    const [id = '', version] = text.replace(/-$/u, '').split(':');
    return { id, service: 'main', version, leaving };
  });
}

function newestOf(versions: WorkerVersions, now: number): string | undefined {
  return versions.newestVersions(now)?.get('main');
}

/** Applies readings 1 s apart, from time 0 on, and returns the newest version after each one. */
function newestAfterEach(
  ...readings: readonly (readonly string[])[]
): (string | undefined)[] {
  const versions = new WorkerVersions();
  return readings.map((texts, at) => {
    versions.apply(workersOf(...texts), at * 1_000);
    return newestOf(versions, at * 1_000);
  });
}

test('a release is under way while an old worker is leaving or has left within 10 s', () => {
  const versions = new WorkerVersions();
  versions.apply(workersOf('a:1', 'b:1'), 0);
  versions.apply(workersOf('a:1-', 'b:1'), 1_000);
  assert.equal(newestOf(versions, 1_000), undefined);
  versions.apply(workersOf('b:1', 'c:2'), 2_000);
  assert.equal(newestOf(versions, 11_999), '2');
  assert.equal(newestOf(versions, 12_000), undefined);
});

test('two versions without a departure are no release', () => {
  assert.deepEqual(newestAfterEach(['a:1'], ['a:1', 'b:2']), [
    undefined,
    undefined,
  ]);
});

test('a departure from the newest version is no release', () => {
  const found = newestAfterEach(
    ['a:1'],
    ['a:1', 'b:2', 'c:2'],
    ['a:1', 'b:2-', 'c:2'],
    ['a:1', 'c:2'],
  );
  assert.deepEqual(found, [undefined, undefined, undefined, undefined]);
});

test('a worker that crashes without having announced its departure begins no release', () => {
  const found = newestAfterEach(['a:1', 'b:1', 'c:2'], ['b:1', 'c:2']);
  assert.deepEqual(found, [undefined, undefined]);
});

test('a worker that crashes while it is leaving has left', () => {
  const versions = new WorkerVersions();
  versions.apply(workersOf('a:1', 'b:1', 'c:2'), 0);
  versions.apply(workersOf('a:1-', 'b:1', 'c:2'), 1_000);
  versions.apply(workersOf('b:1', 'c:2'), 2_000);
  assert.equal(newestOf(versions, 11_999), '2');
});

test('a worker that takes back its departure has not left', () => {
  const found = newestAfterEach(['a:1-', 'b:2'], ['a:1', 'b:2'], ['b:2']);
  assert.deepEqual(found, ['2', undefined, undefined]);
});

test('a worker that restarts under its id with another version has left the old one', () => {
  const found = newestAfterEach(['a@1:1-', 'b@1:1'], ['a@2:2', 'b@1:1']);
  assert.deepEqual(found, [undefined, '2']);
});

test('a release continues while the registry can not be read and a worker is leaving', () => {
  const versions = new WorkerVersions();
  versions.apply(workersOf('a:1-', 'b:2'), 0);
  assert.equal(newestOf(versions, 60_000), '2');
});

test('a rollback after the old version has disappeared counts as newest', () => {
  const versions = new WorkerVersions();
  versions.apply(workersOf('a:1', 'b:1'), 0);
  versions.apply(workersOf('c:2', 'd:2'), 1_000);
  versions.apply(workersOf('c:2', 'd:2'), 20_000);
  versions.apply(workersOf('c:2-', 'd:2'), 21_000);
  versions.apply(workersOf('d:2', 'e:1'), 24_000);
  assert.equal(newestOf(versions, 24_000), '1');
});

test('a rollback halfway through a release counts as newest once its first worker is registered', () => {
  const versions = new WorkerVersions();
  versions.apply(workersOf('a:1', 'b:1', 'c:1'), 0);
  versions.apply(workersOf('a:1-', 'b:1', 'c:1'), 1_000);
  versions.apply(workersOf('d:2', 'b:1', 'c:1'), 4_000);
  assert.equal(newestOf(versions, 4_000), '2');
  versions.apply(workersOf('d:2-', 'b:1', 'c:1'), 15_000);
  versions.apply(workersOf('e:1', 'b:1', 'c:1', 'f:2'), 18_000);
  versions.apply(workersOf('e:1', 'b:1', 'c:1', 'f:2-'), 19_000);
  assert.equal(newestOf(versions, 19_000), undefined);
  versions.apply(workersOf('e:1', 'g:1', 'b:1', 'c:1', 'f:2-'), 30_000);
  assert.equal(newestOf(versions, 30_000), '1');
});

test('an old worker that restarts during a release does not become the newest', () => {
  const found = newestAfterEach(
    ['a:1', 'b:1', 'c:1'],
    ['a:1-', 'b:1', 'c:1'],
    ['d:2', 'b:1', 'c:1-'],
    ['d:2', 'c:1-'],
    ['d:2-', 'b:1', 'c:1-'],
  );
  assert.deepEqual(found, [undefined, undefined, '2', '2', '2']);
});

test('the only old worker that restarts does not become the newest', () => {
  const found = newestAfterEach(
    ['a:1', 'b:1'],
    ['a:1-', 'b:1'],
    ['c:2', 'b:1'],
    ['c:2'],
    ['c:2'],
    ['c:2', 'b:1-'],
  );
  assert.deepEqual(found.slice(2), ['2', undefined, undefined, '2']);
});

test('the first reading takes the version of which no worker leaves, then the highest one', () => {
  const firstNewest = (...texts: string[]): string | undefined =>
    newestAfterEach(texts)[0];
  assert.equal(firstNewest('a:1.10-', 'b:1.9'), '1.9');
  assert.equal(firstNewest('a:1.9-', 'b:1.10-'), '1.10');
  assert.equal(firstNewest('a:1.8-', 'b:1.10', 'c:1.9'), '1.10');
});

test('a leader that takes over between two departures of a rollback corrects itself', () => {
  const found = newestAfterEach(
    ['a:1', 'b:2', 'c:2'],
    ['a:1', 'b:2-', 'c:2'],
    ['a:1', 'd:1', 'c:2'],
  );
  assert.deepEqual(found, [undefined, undefined, '1']);
});

test('workers without a version are ignored', () => {
  const found = newestAfterEach(['a-', 'b:2'], ['b:2', 'c:-'], ['b:2', 'd']);
  assert.deepEqual(found, [undefined, undefined, undefined]);
});

test('services are told apart', () => {
  const versions = new WorkerVersions();
  const other = workersOf('x:7-', 'y:8').map(worker => ({
    ...worker,
    service: 'other',
  }));
  versions.apply([...workersOf('a:1-', 'b:1'), ...other], 0);
  assert.deepEqual([...(versions.newestVersions(0) ?? [])], [['other', '8']]);
});

test('the begin and the end of a release are reported once each, with counts', () => {
  const versions = new WorkerVersions();
  versions.apply(workersOf('a:1', 'b:1', 'c:2'), 0);
  const begun = versions.apply(workersOf('a:1-', 'b:1', 'c:2'), 1_000);
  const workers = { '1': 2, '2': 1 };
  assert.deepEqual(begun, [
    { kind: 'began', service: 'main', newest: '2', workers },
  ]);
  assert.deepEqual(versions.apply(workersOf('b:1', 'c:2'), 2_000), []);
  const ended = versions.apply(workersOf('b:1', 'c:2'), 12_000);
  assert.deepEqual(
    ended.map(({ kind, newest }) => [kind, newest]),
    [['ended', '2']],
  );
});

test('a release ends when the service has no workers any more', () => {
  const versions = new WorkerVersions();
  versions.apply(workersOf('a:1-', 'b:2'), 0);
  assert.equal(versions.apply([], 1_000)[0]?.kind, 'ended');
  versions.apply([], 20_000);
  assert.deepEqual(versions.counts(), []);
});

test('at most eight versions of a service are listed, and the oldest are summed', () => {
  const versions = new WorkerVersions();
  const texts = Array.from({ length: 12 }, (_, at) => `w${at}:v${at}`);
  versions.apply(workersOf(...texts), 0);
  const [found] = versions.counts();
  const names = Object.keys(found?.workers ?? {});
  assert.equal(names.length, 8);
  assert.ok(names.includes('v11'));
  assert.equal(found?.workers[OTHER_VERSIONS], 5);
});

test('versions are compared with numbers as numbers, and any other strings in a fixed order', () => {
  const sorted = ['1.9', '1.10', '1.10.1', '2', '12.0.0'];
  assert.deepEqual([...sorted].reverse().sort(compareVersions), sorted);
  const unreadable = ['', '__proto__', 'latest', '01', '1', 'b7f3', '\u0000'];
  for (const a of unreadable) {
    for (const b of unreadable) {
      const order = Math.sign(compareVersions(a, b));
      assert.equal(order + Math.sign(compareVersions(b, a)), 0);
      assert.equal(order === 0, a === b);
    }
  }
});

test('an unreadable version that appears later counts as the newest', () => {
  const found = newestAfterEach(['a:9.1', 'b:9.1'], ['a:9.1-', 'c:__proto__']);
  assert.deepEqual(found, [undefined, '__proto__']);
});
