/** Pool of HTTP/1.1 connections from this node to one worker. */
import type { Client } from "undici";
import UndiciClient from "undici/lib/dispatcher/client.js";
import type { Clock } from "../common/clock.js";
import { MILLISECOND_US, SECOND_US } from "../common/duration.js";

/** A connection to a worker, which carries one request at a time. */
export interface PooledConnection {
  readonly client: Client;
  /** When the connection was last returned to the pool, in microseconds of the local clock. */
  idleSinceUs: number;
}

const CONNECT_TIMEOUT_US = 300 * MILLISECOND_US;
/** Idle time-out used when the worker sends no `Keep-Alive` header. */
const KEEP_ALIVE_DEFAULT_MS = 4_000;
const MAX_IDLE_US = 15 * SECOND_US;
const MAX_HEADER_BYTES = 64 * 1024;

/**
 * Pools the connections to one worker. Invariant: `open` counts the connections in use and those in
 * `idle`.
 */
export class ConnectionPool {
  private idle: PooledConnection[] = [];
  private open = 0;

  constructor(private readonly clock: Clock) {}

  /** Returns whether a request can be sent without exceeding `limit` open connections. */
  readonly hasCapacity = (limit: number): boolean => this.idle.length > 0 || this.open < limit;

  /**
   * Returns the most recently used idle connection, or a new one to `address` if there is none or
   * if `isNew` is set.
   */
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

  /** Returns a connection to the pool, or closes it if it is not reusable. */
  readonly release = (connection: PooledConnection, isReusable: boolean): void => {
    if (isReusable) {
      connection.idleSinceUs = this.clock.nowUs();
      this.idle.push(connection);
    } else this.close(connection);
  };

  /** Closes all idle connections. */
  readonly closeIdle = (): void => {
    const idle = this.idle;
    this.idle = [];
    idle.forEach(this.close);
  };

  /**
   * Closes connections that have been idle for too long, so that other nodes can use the worker's
   * connection limit.
   */
  readonly evictIdle = (): void => {
    const oldestUs = this.clock.nowUs() - MAX_IDLE_US;
    const kept = this.idle.filter(({ idleSinceUs }) => idleSinceUs >= oldestUs);
    this.idle.filter(({ idleSinceUs }) => idleSinceUs < oldestUs).forEach(this.close);
    this.idle = kept;
  };

  private readonly close = (connection: PooledConnection): void => {
    this.open -= 1;
    // The socket is destroyed either way, and nothing waits for an idle connection to close.
    connection.client.destroy().catch(() => undefined);
  };
}
