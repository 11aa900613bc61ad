#!/usr/bin/env node
/** Entry point of `paddlewind`. */
import { runCli } from './app.js';

process.exitCode = await runCli(process.argv.slice(2), process.env, {
  out: text => {
    process.stdout.write(`${text}\n`);
  },
  err: text => {
    process.stderr.write(`${text}\n`);
  },
});
