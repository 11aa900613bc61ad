/** Bounds what a heartbeat carries of loads on backend servers. */

/** The part of a load that decides whether it is worth telling. */
export interface LoadLike {
  readonly inFlight: number;
  readonly queued: number;
}

/** Returns the non-zero loads, at most `limit`, the heaviest first when there are more. */
export function boundLoads<L extends LoadLike>(
  loads: readonly L[],
  limit: number,
): L[] {
  const told = loads.filter(load => load.inFlight > 0 || load.queued > 0);
  if (told.length <= limit) {
    return told;
  }
  told.sort((a, b) => b.inFlight + b.queued - (a.inFlight + a.queued));
  return told.slice(0, limit);
}
