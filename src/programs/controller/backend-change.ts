/** Validates the change of backends that an operator requests a forecast for. */
import type { Heartbeat } from "../../membership/cluster.js";
import type { WorkerRegistry } from "../../membership/worker-registry.js";
import type { BackendChange } from "../../proxy/reassignment-forecast.js";

const MAX_ADDED = 1_000;

/** Returns the ready workers of a service. */
export const readyWorkers = (registry: WorkerRegistry, service: string): readonly Heartbeat[] =>
  registry
    .all()
    .filter((heartbeat) => heartbeat.service === service && heartbeat.state === "ready");

const findProblemOfAdditions = (
  added: BackendChange["add"],
  services: ReadonlySet<string>,
  zones: readonly string[],
): string | undefined => {
  for (const { service, cell: zone, count } of added) {
    if (!services.has(service)) return `there is no service ${service}`;
    if (!zones.includes(zone)) return `there is no cell ${zone}`;
    if (!Number.isSafeInteger(count) || count < 1 || count > MAX_ADDED)
      return `${count} backends: the count must be an integer from 1 to ${MAX_ADDED}`;
  }
  return undefined;
};

const findProblemOfRetirements = (
  retired: readonly string[],
  registry: WorkerRegistry,
): string | undefined => {
  if (new Set(retired).size < retired.length) return "a worker is listed twice";
  for (const id of retired) {
    const heartbeat = registry.get(id);
    if (!heartbeat || heartbeat.state === "gone") return `there is no worker ${id}`;
    if (heartbeat.state !== "ready") return `worker ${id} is ${heartbeat.state} already`;
  }
  return undefined;
};

/** Returns the first service that the change would leave without any worker. */
const findEmptiedService = (
  { add, retire }: BackendChange,
  registry: WorkerRegistry,
  services: ReadonlySet<string>,
): string | undefined =>
  [...services].find((service) => {
    const ready = readyWorkers(registry, service);
    return (
      ready.length > 0 &&
      ready.every(({ id }) => retire.includes(id)) &&
      !add.some((added) => added.service === service)
    );
  });

/** Returns why a change is impossible, as text for the operator; undefined if it is valid. */
export const findProblem = (
  change: BackendChange,
  registry: WorkerRegistry,
  zones: () => readonly string[],
): string | undefined => {
  const services = new Set(registry.all().map(({ service }) => service));
  if (change.add.length + change.retire.length === 0)
    return "name a backend to add or a worker to retire";
  const problem =
    (change.add.length > 0 ? findProblemOfAdditions(change.add, services, zones()) : undefined) ??
    findProblemOfRetirements(change.retire, registry);
  if (problem !== undefined) return problem;
  const emptied = findEmptiedService(change, registry, services);
  return emptied === undefined ? undefined : `all workers of ${emptied} would be gone`;
};
