/** Metrics that gateways and caches export. */
import type { Metric, LabelledValue } from "../metrics-server.js";
import type { ProxyServer } from "../../proxy/proxy-server.js";
import type { DataPlane } from "./data-plane.js";
import type { DataPlaneNode } from "../data-plane-node.js";

/** Sources of a gateway's metrics. */
export interface GatewayMetricsOptions {
  readonly dataPlane: DataPlane;
  readonly node: DataPlaneNode;
  readonly server: ProxyServer;
}

const outcomeTotals = (dataPlane: DataPlane): readonly LabelledValue[] => {
  const totals = new Map<string, number>();
  dataPlane.outcomes.rows().forEach(({ outcome, count }) => {
    const name = String(outcome);
    totals.set(name, (totals.get(name) ?? 0) + Number(count));
  });
  return [...totals].map(([outcome, value]) => ({ labels: { outcome }, value }));
};

/** Metrics of a node's position in the relay tree, for gateways and caches. */
export const relayMetrics = ({
  subscriber,
  publisher,
  updates,
}: DataPlaneNode): readonly Metric[] => [
  {
    name: "yewreel_updates",
    help: "Updates known to this node: configuration items, workers, decisions.",
    read: () => updates.size,
  },
  {
    name: "yewreel_session_open",
    help: "1 while the node has a session with a controller.",
    read: () => Number(subscriber.isConnected),
  },
  {
    name: "yewreel_parent_is_relay",
    help: "1 while another node sends this one its updates, 0 while a controller does.",
    read: () => Number(subscriber.parentRelay !== ""),
  },
  {
    name: "yewreel_relay_children",
    help: "Nodes that this node sends updates to.",
    read: () => publisher.size,
  },
];

const configurationMetrics = (dataPlane: DataPlane): readonly Metric[] => [
  {
    name: "yewreel_config_version",
    help: "The highest version of any configuration item in force here.",
    read: () => dataPlane.routes.newestVersion,
  },
  {
    name: "yewreel_config_routes",
    help: "Routes in force here.",
    read: () => dataPlane.routes.size,
  },
  {
    name: "yewreel_config_customers",
    help: "Customers in force here; with any, requests need an API key.",
    read: () => dataPlane.customers.size,
  },
];

const trafficMetrics = ({ dataPlane, server }: GatewayMetricsOptions): readonly Metric[] => [
  {
    name: "yewreel_open_requests",
    help: "Requests read and not yet answered.",
    read: () => server.openRequests,
  },
  {
    name: "yewreel_client_connections",
    help: "Open client connections, by what they do: idle, serving or closing.",
    labels: ["state"],
    read: () => {
      const { idle, serving, closing } = server.countConnections();
      return [
        { labels: { state: "idle" }, value: idle },
        { labels: { state: "serving" }, value: serving },
        { labels: { state: "closing" }, value: closing },
      ];
    },
  },
  {
    name: "yewreel_client_connections_cut",
    help: "Client connections cut instead of ended after a last response, by reason.",
    labels: ["reason"],
    read: () => [...server.cutCounts].map(([reason, value]) => ({ labels: { reason }, value })),
  },
  {
    name: "yewreel_workers_warming_up",
    help: "Workers that warm up, as far as this node knows.",
    read: () => dataPlane.workers.warmingUp,
  },
  {
    name: "yewreel_warm_up_requests",
    help: "Requests to workers that warmed up, by whether they were sent or withheld.",
    labels: ["result"],
    read: () => {
      const { sent, withheld } = dataPlane.workers.warmUpCounts;
      return [
        { labels: { result: "sent" }, value: sent },
        { labels: { result: "withheld" }, value: withheld },
      ];
    },
  },
  {
    name: "yewreel_requests",
    help: "Requests answered since the start, by outcome.",
    labels: ["outcome"],
    read: () => outcomeTotals(dataPlane),
  },
];

/** Metrics of a gateway. */
export const gatewayMetrics = (options: GatewayMetricsOptions): readonly Metric[] => [
  ...relayMetrics(options.node),
  ...configurationMetrics(options.dataPlane),
  ...trafficMetrics(options),
];
