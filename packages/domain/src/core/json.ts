/** Parsing of JSON without exceptions. */

/** Returns the parsed value, or undefined when `text` is not JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
