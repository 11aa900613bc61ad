/** Writes the reference pages: `npm run reference`. */
import { writeFile } from 'node:fs/promises';

import { referencePages } from './pages.js';

for (const { file, text } of await referencePages()) {
  await writeFile(new URL(`../../../../${file}`, import.meta.url), text);
}
