import { Board } from "../membership/update-store.js";
import { Feeder } from "../membership/update-publisher.js";
import type { Role } from "../membership/node-sessions.js";
import { Switchboard, type Receiver } from "../transport/listener.js";
import { Taker, type TakerOptions } from "../membership/update-subscriber.js";
import type { Clock } from "../common/clock.js";
import { logFor } from "../common/logger.js";
import type { Settings } from "../common/settings.js";
import { MS } from "../common/duration.js";
import type { Message, Wire } from "../transport/connection.js";

export const TIMES = { pulseUs: 300 * MS, silenceUs: 1_000 * MS };

export interface Member {
  readonly board: Board;
  readonly taker: Taker;
  readonly relay: Switchboard;
}

/** A node of the data plane among the others: its session with a signalbox, and its place in the relay tree. */
export const joinNews = (
  settings: Settings,
  clock: Clock,
  role: Role,
  receivers: Readonly<Record<string, Receiver>> = {},
  answer?: TakerOptions["answer"],
): Member => {
  const log = logFor("relay");
  const board = new Board(clock);
  const taker = new Taker({
    name: settings.name,
    cell: settings.cell,
    role,
    ...(settings.deployment === "" ? {} : { linkMbps: settings.linkMbps }),
    relay: `${settings.ip}:${settings.relayPort}`,
    seeds: settings.seedNodes,
    signalPort: settings.signalPort,
    clock,
    times: TIMES,
    board,
    log: logFor("taker"),
    ...(answer ? { answer } : {}),
  });
  const feeder = new Feeder(clock, board, () => false);
  const serveChild = async (
    wire: Wire,
    _hello: Message,
    incoming: AsyncIterable<Message>,
  ): Promise<void> => {
    if (!taker.isFed) return;
    feeder.adopt(wire);
    for await (const message of incoming) log.debug(`A child said ${message.kind}.`);
    feeder.release(wire);
  };
  taker.events.on("crew", feeder.setCrew);
  taker.events.on("fresh", feeder.setFresh);
  taker.events.on("unfed", feeder.closeAll);
  return {
    board,
    taker,
    relay: new Switchboard(clock, TIMES, { child: serveChild, ...receivers }, log),
  };
};
