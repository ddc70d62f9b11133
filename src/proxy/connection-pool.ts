/** The HTTP/1.1 connections of this node to one worker. */
import type { Client } from "undici";
import UndiciClient from "undici/lib/dispatcher/client.js";
import type { Clock } from "../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";

/** One connection to a worker, for one request at a time. */
export interface PooledConnection {
  readonly client: Client;
  /** When it was last put back, in microseconds of this process's clock. */
  idleSinceUs: number;
}

const CONNECT_TIMEOUT_US = 300 * MILLISECOND_US;
/** How long an idle connection is kept where the worker's `Keep-Alive` header doesn't say. */
const KEEP_ALIVE_DEFAULT_MS = 4_000;
const MAX_IDLE_US = 15 * SECOND_US;
const MAX_HEADER_BYTES = 64 * 1024;

/** Invariant: `open` counts the connections lent out and those in `idle`. */
export class ConnectionPool {
  private idle: PooledConnection[] = [];
  private open = 0;

  constructor(private readonly clock: Clock) {}

  /** Whether a request can be sent with no more than `limit` connections open. */
  readonly hasCapacity = (limit: number): boolean => this.idle.length > 0 || this.open < limit;

  /** The connection last used, or a new one to `address`; always a new one if `isNew`. */
  readonly acquire = (address: string, isNew: boolean): PooledConnection => {
    const idle = isNew ? undefined : this.idle.pop();
    if (idle) return idle;
    this.open += 1;
    const client = new UndiciClient(`http://${address}`, {
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_US / MILLISECOND_US },
      connectTimeout: CONNECT_TIMEOUT_US / MILLISECOND_US,
      keepAliveTimeout: KEEP_ALIVE_DEFAULT_MS,
      keepAliveTimeoutThreshold: 1_000,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    return { client, idleSinceUs: 0 };
  };

  /** Takes a connection back, for the next request or to be closed. */
  readonly release = (connection: PooledConnection, isReusable: boolean): void => {
    if (isReusable) {
      connection.idleSinceUs = this.clock.nowUs();
      this.idle.push(connection);
    } else this.close(connection);
  };

  /** Closes what is idle now. */
  readonly closeIdle = (): void => {
    const idle = this.idle;
    this.idle = [];
    idle.forEach(this.close);
  };

  /** Closes connections long unused, so that other nodes can use what the worker's limit allows. */
  readonly evictIdle = (): void => {
    const oldestUs = this.clock.nowUs() - MAX_IDLE_US;
    const kept = this.idle.filter(({ idleSinceUs }) => idleSinceUs >= oldestUs);
    this.idle.filter(({ idleSinceUs }) => idleSinceUs < oldestUs).forEach(this.close);
    this.idle = kept;
  };

  private readonly close = (connection: PooledConnection): void => {
    this.open -= 1;
    // The socket is gone either way, and nobody waits for the end of an idle connection.
    connection.client.destroy().catch(() => undefined);
  };
}
