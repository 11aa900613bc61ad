/** How a leader handles what its links to workers report. */
import type {
  AdviceTickets,
  StartRate,
  WorkerInfo,
} from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { DecisionLog } from './decision-log.js';
import type { RunRecorder } from './run-recorder.js';
import type { RunSupervisor } from './run-supervisor.js';
import type { StartWindow } from './start-window.js';
import type { LinkEvents } from './worker-link.js';

/** The parts of a leader that its links report to. */
export interface LinkEventHandlers {
  readonly ctx: HostContext;
  readonly runs: RunRecorder;
  readonly decisions: DecisionLog;
  readonly advice: AdviceTickets;
  readonly supervisor: RunSupervisor;
  readonly startWindow: StartWindow;
  readonly startRate: StartRate;
  /** Another incarnation of a worker has answered. */
  readonly onReplaced: (by: string) => void;
  /** The worker has seen the fence of another leader. */
  readonly onFenced: () => void;
  /** The worker has stopped answering. */
  readonly onSilent: () => void;
  /** Something changed that planning has to consider. */
  readonly changed: () => void;
}

/** Returns the events of the link to a worker. */
export function createLinkEvents(
  { id }: WorkerInfo,
  handlers: LinkEventHandlers,
): LinkEvents {
  const { ctx, runs, decisions, advice, supervisor } = handlers;
  const { startWindow, startRate } = handlers;
  return {
    ended: (run, how, checkpoint) => {
      runs.recordEnd(run, how, checkpoint);
    },
    abandoned: (worker, lost, reason, lostBy) => {
      runs.recordAbandoned(worker, lost, reason, lostBy);
    },
    moved: run => {
      runs.recordMove(run, id);
    },
    replaced: handlers.onReplaced,
    strayEnd: ended => {
      runs.recordStrayEnd(id, ended);
    },
    recorded: () => decisions.recorded(),
    reached: done => {
      runs.recordReached(id, done);
    },
    ticketRefused: ({ step }) => {
      advice.discardTicket(step, id);
    },
    fenced: handlers.onFenced,
    runStarted: run => {
      startRate.noteStarted(ctx.clock());
      runs.recordStarted(run);
    },
    startConfirmed: link => {
      supervisor.throttleFillers(link);
    },
    reported: link => {
      supervisor.learnFromReport(link.info);
      ctx.times.measure('limits', () => {
        supervisor.throttleFillers(link);
      });
    },
    silent: open => {
      handlers.onSilent();
      runs.noteContactLost(id, open, ctx.clock());
      startWindow.noteCongestion(ctx.clock());
    },
    answersAgain: () => {
      runs.noteContact(id);
    },
    startExpired: () => {
      startWindow.noteCongestion(ctx.clock());
    },
    changed: handlers.changed,
  };
}
