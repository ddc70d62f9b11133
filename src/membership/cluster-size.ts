/**
 * Derives the size of the cluster from its nodes and selects the gateways that distribute large
 * objects within their zone.
 */
import type { CacheAddress, ClusterNode, ClusterSize } from "./cluster.js";

/**
 * Minimum ratio of a gateway's link bandwidth to the median of its zone for the gateway to
 * distribute large objects.
 */
const DISTRIBUTOR_LINK_FACTOR = 4;

const byName = (one: ClusterNode, other: ClusterNode): number => (one.name < other.name ? -1 : 1);

/**
 * For each zone, the first gateway by name whose link bandwidth reaches `DISTRIBUTOR_LINK_FACTOR`
 * times the zone's median. Zones without such a gateway are omitted.
 */
const distributorsOf = (gateways: readonly ClusterNode[]): readonly CacheAddress[] => {
  const byZone = new Map<string, ClusterNode[]>();
  gateways.forEach((node) => byZone.set(node.zone, [...(byZone.get(node.zone) ?? []), node]));
  return [...byZone].flatMap(([zone, nodes]) => {
    const widths = nodes.map(({ linkMbps }) => linkMbps).sort((a, b) => a - b);
    const median = widths[Math.floor(widths.length / 2)] ?? 0;
    const distributor = nodes
      .filter(({ linkMbps }) => median > 0 && linkMbps >= median * DISTRIBUTOR_LINK_FACTOR)
      .sort(byName)[0];
    return distributor ? [{ address: distributor.relay, zone }] : [];
  });
};

/** The size of a cluster of these nodes. Gateways distribute objects only if there are caches. */
export const clusterSizeOf = (nodes: readonly ClusterNode[]): ClusterSize => {
  const gateways = nodes.filter(({ role }) => role === "gateway");
  const caches = nodes
    .filter(({ role }) => role === "cache")
    .map(({ relay, zone }) => ({ address: relay, zone }));
  const zones: Record<string, number> = {};
  gateways.forEach(({ zone }) => {
    zones[zone] = (zones[zone] ?? 0) + 1;
  });
  const zoneDistributors = caches.length > 0 ? distributorsOf(gateways) : [];
  return {
    gateways: gateways.length,
    zones,
    ...(zoneDistributors.length > 0 ? { zoneDistributors } : {}),
    ...(caches.length > 0 ? { caches } : {}),
  };
};
