/** A budget of extra tries as a share of first tries. */

/** A token bucket that first tries fill and extra tries empty. */
export interface TokenBucket {
  /** Credits one first try. */
  credit(): void;
  /** Takes one token; false when there is none. */
  take(): boolean;
  /** Gives a token back that was not used. */
  giveBack(): void;
}

/** Creates a bucket that gains `share` of a token for each first try, up to `burst` tokens. */
export function createTokenBucket(share: number, burst: number): TokenBucket {
  let tokens = share > 0 ? burst : 0;
  return {
    credit() {
      tokens = Math.min(burst, tokens + share);
    },
    take() {
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
    giveBack() {
      tokens = Math.min(burst, tokens + 1);
    },
  };
}
