/** One quantity of a role, measured at several sizes and fitted. */
import { report } from '../report.js';
import { fitLine } from './fit.js';

/** A quantity of a role and how it is measured at one size. */
export interface Quantity {
  readonly role: string;
  readonly quantity: string;
  /** What the size counts, such as `tasks`. */
  readonly per: string;
  readonly unit: string;
  readonly sizes: readonly number[];
  readonly at: (size: number) => number;
  /** Size of the role's share at the size designed for. */
  readonly designed: number;
}

const DIGITS = 4;
const REPEATS = 5;

/** Measures every size, prints the points and the fit, and what it gives at the designed size. */
export function measure(quantity: Quantity): void {
  const { role, per, unit, sizes, designed } = quantity;
  const points = sizes.map(x => ({ x, y: medianOf(() => quantity.at(x)) }));
  const { slope, intercept, residual } = fitLine(points);
  report({
    bench: 'capacity',
    role,
    quantity: quantity.quantity,
    unit,
    per,
    slope: rounded(slope),
    intercept: rounded(intercept),
    residual: rounded(residual),
    designedSize: designed,
    atDesignedSize: rounded(intercept + slope * designed),
    points: points.map(({ x, y }) => `${x}:${rounded(y)}`).join(' '),
  });
}

function medianOf(once: () => number): number {
  const values = Array.from({ length: REPEATS }, once);
  values.sort((a, b) => a - b);
  return values[Math.floor(REPEATS / 2)] ?? NaN;
}

function rounded(value: number): number {
  return Number(value.toPrecision(DIGITS));
}
