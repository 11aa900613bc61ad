/** Signals that ask the process to stop; loads nothing, so that it listens before the rest is loaded. */

/** Resolves at the first signal; a second one ends the process at once with `forcedExitCode`. */
export function onStopSignal(forcedExitCode: number): Promise<void> {
  return new Promise(resolve => {
    let asked = false;
    const onSignal = () => {
      if (asked) {
        process.exit(forcedExitCode);
      }
      asked = true;
      resolve();
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  });
}
