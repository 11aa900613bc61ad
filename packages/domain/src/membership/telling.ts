/** Chooses what a message tells of other members. */
import type { MembershipContext } from './context.js';
import type { MemberRecord } from './roster.js';
import { toldInfo } from './roster.js';
import type { HeartbeatMessage, MemberInfo } from './types.js';

/** Builds messages. */
export interface Telling {
  message(to: string, region: string): HeartbeatMessage;
}

/** Builds messages: news everywhere, and to other regions the members of the own one in turn. */
export function createTelling(ctx: MembershipContext): Telling {
  const { settings, roster, news, self } = ctx;
  let turn = 0;
  let doubtedTurn = 0;

  function ownRegion(limit: number): MemberRecord[] {
    const region = self.info().region;
    const own = [...roster.values()].filter(
      record => record.info.region === region && record.heard !== undefined,
    );
    if (own.length <= limit) {
      return own;
    }
    const from = turn % own.length;
    turn = from + limit;
    return [...own.slice(from), ...own.slice(0, from)].slice(0, limit);
  }

  /** One doubted member in turn, since all news of it may have been lost on the way to some host. */
  function nextDoubted(): MemberRecord[] {
    const doubted = [...roster.values()].filter(
      record =>
        record.heard !== undefined &&
        (record.suspectedAt !== undefined || record.goneAt !== undefined),
    );
    doubtedTurn += 1;
    const next = doubted[doubtedTurn % Math.max(1, doubted.length)];
    return next === undefined ? [] : [next];
  }

  function newsOf(id: string): MemberInfo | undefined {
    if (id === self.info().id) {
      return self.info();
    }
    const record = roster.get(id);
    return record?.heard === undefined ? undefined : toldInfo(record);
  }

  return {
    message(to, region) {
      const told = new Map<string, MemberInfo>();
      const addressee = roster.get(to);
      if (addressee?.suspectedAt !== undefined) {
        told.set(to, toldInfo(addressee));
      }
      for (const id of news.take(settings.newsLimit)) {
        const info = newsOf(id);
        if (info !== undefined) {
          told.set(id, info);
        }
      }
      for (const record of nextDoubted()) {
        told.set(record.info.id, toldInfo(record));
      }
      const remote = region !== self.info().region;
      const room = remote ? settings.newsLimit - told.size : 0;
      for (const record of room > 0 ? ownRegion(room) : []) {
        told.set(record.info.id, toldInfo(record));
      }
      return { sender: self.info(), members: [...told.values()] };
    },
  };
}
