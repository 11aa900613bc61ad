/** Functions of the normal distribution, for quantities whose logarithm is normally distributed. */

const SQRT_2PI = Math.sqrt(2 * Math.PI);
/** From here on the continued fraction is used, which is precise far out in the tail. */
const FAR_Z = 2;
const FRACTION_TERMS = 24;

/** Returns the logarithm of the probability that a standard normal quantity exceeds `z`. */
export function logSurvival(z: number): number {
  if (z < FAR_Z) {
    return Math.log(z < 0 ? 1 - nearTail(-z) : nearTail(z));
  }
  return logDensity(z) - Math.log(inverseMills(z));
}

/** Returns the density at `z`, given that the quantity exceeds `z`. */
export function hazard(z: number): number {
  return z < FAR_Z ? Math.exp(logDensity(z) - logSurvival(z)) : inverseMills(z);
}

/** Returns the logarithm of the standard normal density. */
export function logDensity(z: number): number {
  return -(z ** 2) / 2 - Math.log(SQRT_2PI);
}

/** Returns the probability of exceeding `z` >= 0 (Abramowitz and Stegun 26.2.17). */
function nearTail(z: number): number {
  const t = 1 / (1 + 0.2316419 * z);
  const polynomial =
    t *
    (0.31938153 +
      t *
        (-0.356563782 +
          t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
  return Math.exp(logDensity(z)) * polynomial;
}

/** Returns the ratio of density and survival by Laplace's continued fraction. */
function inverseMills(z: number): number {
  let fraction = z;
  for (let term = FRACTION_TERMS; term > 0; term -= 1) {
    fraction = z + term / fraction;
  }
  return fraction;
}

/**
 * Returns how much longer something is expected to last that has lasted for `elapsed`, if the logarithm of
 * its duration has the given mean and variance.
 */
export function expectedRest(
  elapsed: number,
  mean: number,
  variance: number,
): number {
  const deviation = Math.sqrt(variance);
  const z = (Math.log(elapsed) - mean) / deviation;
  const logRatio = logSurvival(z - deviation) - logSurvival(z);
  return Math.max(0, Math.exp(mean + variance / 2 + logRatio) - elapsed);
}

/** Returns by how many standard deviations the largest of `count` normal quantities exceeds their mean. */
export function largestDeviation(count: number): number {
  // Blom's approximation of the expected order statistic, and 26.2.23 of Abramowitz and Stegun.
  const upper = 0.625 / (count + 0.25);
  if (count <= 1) {
    return 0;
  }
  const t = Math.sqrt(-2 * Math.log(upper));
  const numerator = 2.515517 + t * (0.802853 + t * 0.010328);
  const denominator = 1 + t * (1.432788 + t * (0.189269 + t * 0.001308));
  return t - numerator / denominator;
}
