/** Every promise that is checked. */
import type { Check } from '../check.js';
import { atMostOnceCheck } from './at-most-once.js';
import { capacityCheck } from './capacity.js';
import { configCheck } from './config.js';
import { epochsCheck } from './epochs.js';
import { finishOnceCheck } from './finish-once.js';
import { gracefulStopCheck } from './graceful-stop.js';
import { leavingCheck } from './leaving.js';
import { notRunCheck } from './not-run.js';
import { onePlaceCheck } from './one-place.js';
import { ownAnswerCheck } from './own-answer.js';
import { resumeOnceCheck } from './resume-once.js';

/** The checks in the order of the promises. */
export const CHECKS: readonly Check[] = [
  capacityCheck,
  onePlaceCheck,
  resumeOnceCheck,
  finishOnceCheck,
  ownAnswerCheck,
  notRunCheck,
  atMostOnceCheck,
  leavingCheck,
  gracefulStopCheck,
  configCheck,
  epochsCheck,
];
