/** The command line as a library, for tests and benchmarks. */
export { runCli } from './app.js';
export type { Io } from './output.js';
