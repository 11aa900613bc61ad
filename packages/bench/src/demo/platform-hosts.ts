/** Hosts on the stand-in of the users' platform, as processes. */
import { createReadStream, existsSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import {
  hostSettings,
  type StoreServer,
} from '@paddlewind/stand-ins/users-platform';

import type { Child, ProcessGroup } from '../processes/process-group.js';
import { until } from '../processes/until.js';

const DAEMON = fileURLToPath(
  new URL('../../../../platform/dist/main.js', import.meta.url),
);
/** Variable that names a host's settings file. */
const SETTINGS_VARIABLE = 'PADDLEWIND_CONFIG';
const START_LIMIT_MS = 10_000;

/** A host that listens. */
export interface PlatformHost {
  readonly name: string;
  readonly child: Child;
  /** Where callers connect. */
  readonly callers: string;
  /** Where the balancer asks. */
  readonly readiness: string;
  /** Where its metrics are read. */
  readonly metrics: string;
  /** Tells whether its log says that it came to lead. */
  hasLed(): Promise<boolean>;
}

interface LogLine {
  readonly msg: string;
  readonly callers?: number;
  readonly readiness?: number;
  readonly metrics?: string;
}

/** What distinguishes one start of a host from others. */
export interface PlatformHostOptions {
  /** Name of its settings and log files; that of the host if it is not given. */
  readonly fileName?: string;
  /** Settings that replace the defaults. */
  readonly fields?: Readonly<Record<string, unknown>>;
}

/** Starts a host with settings and log in `directory`; resolves once it listens. */
export async function startPlatformHost(
  group: ProcessGroup,
  directory: string,
  name: string,
  store: StoreServer,
  { fileName = name, fields = {} }: PlatformHostOptions = {},
): Promise<PlatformHost> {
  const settings = join(directory, `${fileName}.json`);
  const logFile = join(directory, `${fileName}.log`);
  writeFileSync(settings, hostSettings(name, store, fields));
  const child = group.start({
    name,
    args: [DAEMON],
    logFile,
    env: { [SETTINGS_VARIABLE]: settings },
  });
  const line = await until(
    () => findLine(logFile, 'daemon: listens'),
    START_LIMIT_MS,
  );
  if (line === undefined) {
    throw new Error(`${name} does not listen; its log is ${logFile}`);
  }
  return {
    name,
    child,
    callers: `http://127.0.0.1:${line.callers ?? 0}`,
    readiness: `http://127.0.0.1:${line.readiness ?? 0}`,
    metrics: `http://${line.metrics ?? ''}/metrics`,
    hasLed: async () =>
      (await findLine(logFile, 'leadership: this host leads')) !== undefined,
  };
}

async function findLine(
  logFile: string,
  msg: string,
): Promise<LogLine | undefined> {
  if (!existsSync(logFile)) {
    return undefined;
  }
  const input = createReadStream(logFile);
  for await (const text of createInterface({ input })) {
    if (text.includes(`"msg":"${msg}"`)) {
      return JSON.parse(text) as LogLine;
    }
  }
  return undefined;
}
