/**
 * Plans the warm-up of workers: the controller that receives a heartbeat of a worker that is cold
 * chooses the gateways that may send to it meanwhile.
 */
import type { ClusterNode, Heartbeat } from "../../membership/cluster.js";
import { chooseSenders, planSenders, type WarmUpLimit } from "../../membership/warm-up.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import type { Clock } from "../../common/clock.js";
import type { Settings } from "../../common/settings.js";
import type { ServiceWarmUps } from "./service-warm-ups.js";

/** Dependencies of {@link WarmUpPlanner}. */
export interface WarmUpPlannerOptions {
  readonly settings: Pick<Settings, "warmUpTolerance">;
  readonly clock: Clock;
  readonly services: Pick<ServiceWarmUps, "limitOf">;
  readonly registry: WorkerRegistry;
  /** When the evacuation of a zone ended; undefined if there was none lately. */
  readonly zoneReturnedUs: (zone: string) => number | undefined;
  /** The nodes with a session at any controller. */
  readonly nodes: () => readonly ClusterNode[];
}

/** Adds what is planned for the warm-up to heartbeats. */
export class WarmUpPlanner {
  constructor(private readonly options: WarmUpPlannerOptions) {}

  /**
   * Returns the heartbeat with the senders of its worker, if that is cold and its service has a
   * limit. The senders stay the same until the warm-up ends. After an evacuation, a worker counts
   * as cold for the whole duration of a warm-up, since its heartbeat may have been sent before it
   * turned cold.
   */
  readonly plan = (heartbeat: Heartbeat): Heartbeat => {
    const limit = this.options.services.limitOf(heartbeat.service);
    if (!limit || heartbeat.state !== "ready") return heartbeat;
    const warmUs = Math.max(heartbeat.warmUs, this.zoneWarmUpLeftUs(heartbeat.zone, limit));
    if (warmUs <= 0) return heartbeat;
    const { registry, nodes, settings } = this.options;
    const known = registry.sendersOf(heartbeat.id);
    const { count } = planSenders(limit, settings.warmUpTolerance);
    const senders = known.length > 0 ? known : chooseSenders(heartbeat, nodes(), count);
    return { ...heartbeat, warmUs, senders };
  };

  private readonly zoneWarmUpLeftUs = (zone: string, { durationUs }: WarmUpLimit): number => {
    const returnedUs = this.options.zoneReturnedUs(zone);
    return returnedUs === undefined ? 0 : returnedUs + durationUs - this.options.clock.nowUs();
  };
}
