/**
 * Exposes the metrics of a program in the Prometheus text format on a separate port. The client
 * library is loaded on the first scrape, so it costs nothing at start-up.
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { Registry } from "prom-client";
import { messageOf } from "../common/errors.js";
import { sentFrameCounts } from "../transport/frame-codec.js";
import type { EventLoopDelayRecorder } from "../common/event-loop-delay.js";
import type { Logger } from "../common/logger.js";

/** One sample of a metric, identified by its labels. */
export interface LabelledValue {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** A gauge that is read on each scrape. */
export interface Metric {
  /** Ends with the unit, if any: for example `yewreel_children` or `yewreel_uptime_seconds`. */
  readonly name: string;
  readonly help: string;
  /** Names of the labels; omitted for a single value. */
  readonly labels?: readonly string[];
  readonly read: () => number | readonly LabelledValue[];
}

/** Settings and dependencies of {@link MetricsServer}. */
export interface MetricsServerOptions {
  readonly ip: string;
  readonly port: number;
  /** The path, with its leading slash. */
  readonly path: string;
  readonly metrics: readonly Metric[];
  readonly log: Logger;
}

const openRegistry = async (metrics: readonly Metric[]): Promise<Registry> => {
  const { default: prometheus } = await import("prom-client");
  const registry = new prometheus.Registry();
  metrics.forEach(({ name, help, labels, read }) => {
    const gauge = new prometheus.Gauge({
      name,
      help,
      labelNames: [...(labels ?? [])],
      registers: [registry],
    });
    Object.assign(gauge, {
      collect: () => {
        const values = read();
        gauge.reset();
        if (typeof values === "number") gauge.set(values);
        else values.forEach(({ labels, value }) => gauge.set({ ...labels }, value));
      },
    });
  });
  return registry;
};

/** Serves metrics over HTTP. */
export class MetricsServer {
  private server: Server | undefined;
  private registry: Promise<Registry> | undefined;

  constructor(private readonly options: MetricsServerOptions) {}

  /**
   * Starts to listen. If the port is in use, logs a warning and resolves, so that the program runs
   * without its metrics endpoint.
   */
  readonly listen = (): Promise<void> =>
    new Promise((resolve) => {
      const { ip, port, log } = this.options;
      this.server = createServer((request, response) => void this.answer(request.url, response));
      this.server.once("error", (error) => {
        log.warn("metrics are not served", { port, error: messageOf(error) });
        resolve();
      });
      this.server.listen(port, ip, resolve);
    });

  readonly close = (): void => {
    this.server?.close();
    this.server?.closeIdleConnections();
  };

  private readonly answer = async (
    url: string | undefined,
    response: ServerResponse,
  ): Promise<void> => {
    const { path, metrics, log } = this.options;
    if (url !== path) {
      response.writeHead(404).end();
      return;
    }
    try {
      this.registry ??= openRegistry(metrics);
      const registry = await this.registry;
      const text = await registry.metrics();
      response.writeHead(200, { "Content-Type": registry.contentType }).end(text);
    } catch (error) {
      log.warn("collecting metrics failed", { error: messageOf(error) });
      response.writeHead(500).end();
    }
  };
}

/** Process metrics, common to all programs. */
export const processMetrics = (delays: EventLoopDelayRecorder): readonly Metric[] => [
  {
    name: "yewreel_event_loop_delay_microseconds",
    help: "How late timers fired since the last reading.",
    labels: ["quantile"],
    read: () => {
      const { p50Us, p99Us, maxUs } = delays.take();
      return [
        { labels: { quantile: "0.5" }, value: p50Us },
        { labels: { quantile: "0.99" }, value: p99Us },
        { labels: { quantile: "1" }, value: maxUs },
      ];
    },
  },
  {
    name: "yewreel_process_resident_bytes",
    help: "Resident memory of the process.",
    read: () => process.memoryUsage.rss(),
  },
  {
    name: "yewreel_process_cpu_microseconds",
    help: "Processor time of the process since its start.",
    read: () => {
      const { user, system } = process.cpuUsage();
      return user + system;
    },
  },
  {
    name: "yewreel_sent_bytes",
    help: "Bytes sent to other processes of the cluster, by kind of message.",
    labels: ["kind"],
    read: () =>
      [...sentFrameCounts].map(([kind, { bytes }]) => ({ labels: { kind }, value: bytes })),
  },
];
