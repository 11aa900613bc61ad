/** Burn rate charts, rendered to SVG without a browser. */
import { BarChart } from 'echarts/charts';
import {
  GridComponent,
  LegendComponent,
  MarkLineComponent,
} from 'echarts/components';
import { type EChartsCoreOption, init, use } from 'echarts/core';
import { SVGRenderer } from 'echarts/renderers';

import { type BurnSeries, windowName } from './model.js';

use([BarChart, GridComponent, LegendComponent, MarkLineComponent, SVGRenderer]);

const WIDTH = 880;
const WINDOWS_CHART_HEIGHT = 320;
const BAR_HEIGHT = 30;
const MARGIN_HEIGHT = 70;
const MAX_BARS = 16;

/** The Okabe-Ito palette, which colour-blind readers can distinguish. */
const COLOURS = [
  '#0072b2',
  '#e69f00',
  '#009e73',
  '#cc79a7',
  '#56b4e9',
  '#d55e00',
  '#f0e442',
  '#000000',
];

const TEXT_STYLE = { fontFamily: 'sans-serif', fontSize: 13 };

function renderSvg(option: EChartsCoreOption, height: number): string {
  const chart = init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH,
    height,
  });
  chart.setOption({
    animation: false,
    color: COLOURS,
    textStyle: TEXT_STYLE,
    ...option,
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

function rounded(rate: number): number {
  return Number(rate.toPrecision(3));
}

/** Marks the burn rate 1, at which the budget lasts exactly its period. */
function evenRateLine(axis: 'xAxis' | 'yAxis') {
  return {
    silent: true,
    symbol: 'none',
    lineStyle: { color: '#444', type: 'dashed' },
    label: { formatter: 'rate 1', position: 'end' },
    data: [{ [axis]: 1 }],
  };
}

/** Renders the burn rate of each series in each window. */
export function windowsChart(series: readonly BurnSeries[]): string {
  const windows = series[0]?.cells ?? [];
  return renderSvg(
    {
      legend: { top: 0, itemGap: 28, textStyle: TEXT_STYLE },
      grid: { left: 70, right: 60, top: 40, bottom: 40 },
      xAxis: {
        type: 'category',
        data: windows.map(cell => windowName(cell.windowSeconds)),
      },
      yAxis: { type: 'value', name: 'burn rate' },
      series: series.map((each, index) => ({
        type: 'bar',
        name: each.name,
        data: each.cells.map(cell => rounded(cell.burnRate)),
        label: {
          show: series.length <= 3,
          position: 'top',
          fontSize: 11,
        },
        ...(index === 0 ? { markLine: evenRateLine('yAxis') } : {}),
      })),
    },
    WINDOWS_CHART_HEIGHT,
  );
}

/** Renders the series with the highest burn rates in one window, highest first. */
export function neighboursChart(
  series: readonly BurnSeries[],
  windowSeconds: number,
): string {
  const bars = series
    .map(({ name, cells }) => {
      const cell = cells.find(each => each.windowSeconds === windowSeconds);
      const requests = cell?.requests ?? 0;
      return { name: `${name} · ${requests}`, rate: cell?.burnRate ?? 0 };
    })
    .sort((a, b) => a.rate - b.rate)
    .slice(-MAX_BARS);
  return renderSvg(
    {
      grid: {
        left: 16,
        right: 80,
        top: 24,
        bottom: 40,
        outerBoundsMode: 'same',
        outerBoundsContain: 'axisLabel',
      },
      xAxis: { type: 'value', name: 'burn rate' },
      yAxis: { type: 'category', data: bars.map(bar => bar.name) },
      series: [
        {
          type: 'bar',
          data: bars.map(bar => rounded(bar.rate)),
          label: { show: true, position: 'right' },
          markLine: evenRateLine('xAxis'),
        },
      ],
    },
    MARGIN_HEIGHT + BAR_HEIGHT * bars.length,
  );
}
