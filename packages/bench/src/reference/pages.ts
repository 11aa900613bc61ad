/** The reference pages that are made from the schemas. */
import { settingsSchema } from '@paddlewind/daemon';
import {
  jobSchema,
  policySchema,
  serviceSchema,
  shardSchema,
  teamSchema,
  weightsSchema,
  workerSchema,
} from '@paddlewind/domain';
import type { z } from 'zod';

import { listMetrics } from './metrics.js';
import { renderFields } from './render.js';

/** A page: its file under the repository's root and its text. */
export interface ReferencePage {
  readonly file: string;
  readonly text: string;
}

const MADE_FROM =
  'Made from the schemas by `npm run reference`; a test checks that it is current.';

const MADE_FROM_METRICS =
  'Made from a running entry host by `npm run reference`; a test checks that it is current.';

const DECLARATIONS: readonly (readonly [string, string, z.ZodType])[] = [
  [
    'service',
    'Which workers run backend servers, and how requests reach them.',
    serviceSchema,
  ],
  [
    'job',
    'Tasks of one size that run to their end; submitted by `paddlewind job submit`, not applied.',
    jobSchema,
  ],
  [
    'policy',
    'Class and priority of the work that a selector matches; the first match by `order` decides, and work that none matches is normal batch work that is not preempted.',
    policySchema,
  ],
  ['team', 'A team, its quota and its share.', teamSchema],
  [
    'shard',
    'The racks of an availability zone that one owner schedules; a few dozen workers each.',
    shardSchema,
  ],
  [
    'weights',
    'What the deployment weighs most when work interferes.',
    weightsSchema,
  ],
  [
    'worker',
    "A worker's administrative state; written by `paddlewind drain`.",
    workerSchema,
  ],
];

function declarationsPage(): string {
  const intro =
    'Declarations are JSON files kept in version control; a file holds one object or a list. ' +
    'Unknown fields are refused. See `examples` for two whole trees, and [CLI.md](CLI.md) for how to publish them.';
  const sections = DECLARATIONS.map(
    ([kind, about, schema]) =>
      `## ${kind}\n\n${about}\n\n${renderFields(schema)}`,
  );
  return ['# Declarations', MADE_FROM, intro, ...sections].join('\n\n') + '\n';
}

function settingsPage(): string {
  const intro =
    '`paddlewindd --settings FILE` reads one JSON file; `--check` only checks it. ' +
    'Unknown keys are refused, and every fault is told at once with path, expectation and value. ' +
    'Times are in milliseconds; addresses are `ip:port`, and port 0 takes a free one.';
  const fields = renderFields(settingsSchema);
  return (
    ['# Settings of paddlewindd', MADE_FROM, intro, fields].join('\n\n') + '\n'
  );
}

async function metricsPage(): Promise<string> {
  const intro =
    '`/metrics` on the admin listener, in the text format of Prometheus. ' +
    'Beside these there are the process metrics of prom-client. ' +
    'Labels have few values: services, availability zones, streams, kinds and outcomes, never requests, tasks or callers.';
  const metrics = await listMetrics();
  const lines = metrics.map(
    ({ name, type, help }) => `- \`${name}\` (${type}): ${help}`,
  );
  return (
    ['# Metrics', MADE_FROM_METRICS, intro, lines.join('\n')].join('\n\n') +
    '\n'
  );
}

/** Renders every page. */
export async function referencePages(): Promise<ReferencePage[]> {
  return [
    { file: 'docs/DECLARATIONS.md', text: declarationsPage() },
    { file: 'docs/SETTINGS.md', text: settingsPage() },
    { file: 'docs/METRICS.md', text: await metricsPage() },
  ];
}
