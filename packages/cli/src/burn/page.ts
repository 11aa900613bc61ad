/** Renders the burn report as a self-contained HTML page. */
import { neighboursChart, windowsChart } from './charts.js';
import {
  type BurnReport,
  type BurnSeries,
  percent,
  type ServiceBurn,
  windowName,
} from './model.js';

const STYLE = `
body { font: 15px/1.5 sans-serif; color: #1a1a1a; max-width: 920px; margin: 2rem auto; padding: 0 1rem; }
h1 { font-size: 1.6rem; margin-bottom: 0; } h2 { margin-top: 2.5rem; border-bottom: 1px solid #ccc; }
h3 { font-size: 1rem; margin: 1.5rem 0 .3rem; }
.note { color: #555; margin: 0 0 1rem; }
.fast, .slow, .missing { padding: .5rem .8rem; border-left: 6px solid; margin: .5rem 0; }
.fast { border-color: #b3261e; background: #fbe9e7; } .slow { border-color: #e69f00; background: #fff6e0; }
.missing { border-color: #555; background: #eee; }
.figures { display: flex; flex-wrap: wrap; gap: 1rem; margin: 1rem 0; }
.figures div { border: 1px solid #ccc; border-radius: 6px; padding: .5rem 1rem; }
.figures b { display: block; font-size: 1.4rem; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: .25rem .6rem; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child { text-align: left; }
summary { cursor: pointer; margin: 1rem 0; }
svg { max-width: 100%; height: auto; }
`;

const HOUR_SECONDS = 3_600;

const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

function escapeHtml(text: string): string {
  return text.replace(/[&<>"']/g, char => ENTITIES[char] ?? char);
}

function figure(value: string, name: string): string {
  return `<div><b>${escapeHtml(value)}</b>${escapeHtml(name)}</div>`;
}

function seriesRows(series: BurnSeries): string {
  return series.cells
    .filter(cell => cell.requests > 0)
    .map(cell => {
      const values = [
        series.name,
        windowName(cell.windowSeconds),
        cell.requests.toLocaleString('en'),
        cell.failed.toLocaleString('en'),
        cell.slow.toLocaleString('en'),
        cell.burnRate.toFixed(2),
        percent(cell.budgetSpent),
      ];
      const data = values.map(value => `<td>${escapeHtml(value)}</td>`);
      return `<tr>${data.join('')}</tr>`;
    })
    .join('\n');
}

function seriesTable(all: readonly BurnSeries[]): string {
  const names = [
    'Requests of',
    'Window',
    'Requests',
    'Failed',
    'Slow',
    'Burn rate',
    'Budget spent',
  ];
  const header = names.map(name => `<th>${name}</th>`).join('');
  return `<table><tr>${header}</tr>${all.map(seriesRows).join('\n')}</table>`;
}

function alertBoxes(burn: ServiceBurn): string {
  const meaning: Readonly<Record<string, string>> = {
    fast: 'burns its error budget fast; look now',
    slow: 'burns its error budget steadily; look within a day',
  };
  return burn.alerts
    .map(severity => {
      const text = `${burn.service} ${meaning[severity] ?? severity}`;
      const name = severity === 'fast' ? 'fast' : 'slow';
      return `<p class="${name}">${escapeHtml(text)}</p>`;
    })
    .join('\n');
}

function neighbourSection(burn: ServiceBurn): string {
  if (burn.neighbours.length === 0) {
    return '';
  }
  const chart = neighboursChart(burn.neighbours, HOUR_SECONDS);
  return `<h3>By batch job on the same worker, last hour (name · requests)</h3>\n${chart}`;
}

function serviceSection(burn: ServiceBurn): string {
  const longest = burn.all.cells.at(-1);
  const spent = longest === undefined ? 0 : longest.budgetSpent;
  const figures = [
    figure(burn.objective, `objective over ${burn.periodDays} d`),
    figure(
      percent(spent),
      `of the budget spent in ${windowName(longest?.windowSeconds ?? 0)}`,
    ),
  ];
  return `<section>
<h2>${escapeHtml(burn.service)}</h2>
${alertBoxes(burn)}
<div class="figures">${figures.join('')}</div>
<h3>Burn rate by window, in all and by availability zone</h3>
${windowsChart([burn.all, ...burn.zones])}
${neighbourSection(burn)}
<details><summary>All figures</summary>
${seriesTable([burn.all, ...burn.zones, ...burn.neighbours])}
</details>
</section>`;
}

function missingBox(report: BurnReport): string {
  if (report.missing.length === 0) {
    return '';
  }
  const names = escapeHtml(report.missing.join(', '));
  return `<p class="missing">Not in this report, since they did not answer: ${names}</p>`;
}

/** Returns the HTML page; `createdAt` is the report's time as shown on it. */
export function burnPage(report: BurnReport, createdAt: string): string {
  const figures = [
    figure(String(report.evictions), 'evictions in 3 d'),
    figure(
      report.batchCompleted.toLocaleString('en'),
      'batch tasks completed in 3 d',
    ),
    figure(String(report.hosts.length), 'entry hosts in this report'),
  ];
  const sections = report.services.map(serviceSection);
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>Service-level burn</title><style>${STYLE}</style></head>
<body>
<h1>Service-level burn</h1>
<p class="note">${escapeHtml(createdAt)}. A burn rate of 1 spends the error budget in exactly its period.</p>
${missingBox(report)}
<div class="figures">${figures.join('')}</div>
${sections.join('\n') || '<p>No service has had a request.</p>'}
</body>
</html>
`;
}
