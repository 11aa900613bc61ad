/** Renders the burn report as text. */
import { table } from '../output.js';
import {
  type BurnReport,
  type BurnSeries,
  percent,
  windowName,
} from './model.js';

function windowsOf(report: BurnReport): number[] {
  const cells = report.services.flatMap(burn => burn.all.cells);
  const seconds = new Set(cells.map(cell => cell.windowSeconds));
  return [...seconds].sort((a, b) => a - b);
}

function rateIn(series: BurnSeries, seconds: number): string {
  const cell = series.cells.find(each => each.windowSeconds === seconds);
  return cell === undefined || cell.requests === 0
    ? '-'
    : cell.burnRate.toFixed(2);
}

/** Returns the burn rate in each window, followed by the counts of the longest one. */
function rowOf(
  service: string,
  series: BurnSeries,
  windows: readonly number[],
): string[] {
  const longest = series.cells.at(-1);
  return [
    service,
    series.name,
    ...windows.map(seconds => rateIn(series, seconds)),
    String(longest?.requests ?? 0),
    String(longest?.failed ?? 0),
    String(longest?.slow ?? 0),
    percent(longest?.budgetSpent ?? 0),
  ];
}

function burnTable(report: BurnReport): string {
  const windows = windowsOf(report);
  const header = [
    'SERVICE',
    'OF',
    ...windows.map(seconds => `BURN ${windowName(seconds)}`),
    'REQUESTS',
    'FAILED',
    'SLOW',
    'BUDGET',
  ];
  const rows = report.services.flatMap(burn =>
    [burn.all, ...burn.zones, ...burn.neighbours].map(series =>
      rowOf(burn.service, series, windows),
    ),
  );
  return table(header, rows);
}

function alertLines(report: BurnReport): string[] {
  return report.services.flatMap(burn =>
    burn.alerts.map(
      severity =>
        `alert: ${burn.service} burns its budget (${severity}); objective ${burn.objective} over ${burn.periodDays} d`,
    ),
  );
}

/** Returns the report as human-readable lines. */
export function burnText(report: BurnReport): string {
  const missing =
    report.missing.length === 0
      ? []
      : [`missing: ${report.missing.join(', ')} did not answer`];
  return [
    ...alertLines(report),
    burnTable(report),
    `evictions ${report.evictions}, batch tasks completed ${report.batchCompleted}`,
    ...missing,
  ].join('\n');
}
