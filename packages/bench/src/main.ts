/** Runs one benchmark by name: `npm run bench -- NAME [flags]`; prints one JSON object a line. */
import { readdir } from 'node:fs/promises';

/** A module under `benches`. */
interface BenchModule {
  run(args: readonly string[]): Promise<void>;
}

const BENCHES = new URL('./benches/', import.meta.url);

async function benchNames(): Promise<string[]> {
  const files = await readdir(BENCHES);
  return files
    .filter(file => file.endsWith('.js') && !file.endsWith('.test.js'))
    .map(file => file.slice(0, -'.js'.length))
    .sort();
}

async function main(): Promise<number> {
  const [name, ...args] = process.argv.slice(2);
  const names = await benchNames();
  if (name === undefined || !names.includes(name)) {
    process.stderr.write(
      `usage: npm run bench -- NAME, one of: ${names.join(', ')}\n`,
    );
    return 2;
  }
  const bench = (await import(
    new URL(`${name}.js`, BENCHES).href
  )) as BenchModule;
  await bench.run(args);
  return 0;
}

process.exitCode = await main();
