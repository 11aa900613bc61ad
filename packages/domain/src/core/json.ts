/** JSON parsing without exceptions. */

/** Parses `text`; returns undefined if it is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
