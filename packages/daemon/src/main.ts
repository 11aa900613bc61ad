#!/usr/bin/env node
/** Entry point of `paddlewindd`; listens for signals before it loads the daemon. */
import { onStopSignal } from './stop-signal.js';

const FORCED_EXIT_CODE = 1;

const stopAsked = onStopSignal(FORCED_EXIT_CODE);
const { runDaemon } = await import('./run-daemon.js');
process.exit(await runDaemon(stopAsked));
