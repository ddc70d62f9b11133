/** Opens connections to other processes of the cluster. */
import { connect } from "node:net";
import type { Clock } from "../common/clock.js";
import { Connection, type KeepAliveTimes } from "./connection.js";

/**
 * Connects to a listener. Resolves to undefined if the connection fails or is not established
 * within `timeoutUs`. Never rejects.
 */
export const connectTo = (
  ip: string,
  port: number,
  clock: Clock,
  timeoutUs: number,
  times: KeepAliveTimes,
): Promise<Connection | undefined> =>
  new Promise((resolve) => {
    const socket = connect({ host: ip, port });
    const timer = clock.after(timeoutUs, () => {
      socket.destroy();
      resolve(undefined);
    });
    socket.once("error", () => {
      timer.stop();
      resolve(undefined);
    });
    socket.once("connect", () => {
      timer.stop();
      resolve(new Connection(socket, clock, times));
    });
  });
