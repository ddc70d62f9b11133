import type { WorkerRegistry } from "../../membership/worker-registry.js";
import type { NodeAnswer } from "../../membership/cluster.js";
import { CALLS_WINDOW_US } from "../../proxy/request-counters.js";
import {
  bandOf,
  CONFIDENCE,
  joinBandOf,
  LEAST_CALLS,
  unevennessOf,
  type BackendChange,
} from "../../proxy/reassignment-forecast.js";
import {
  asRecord,
  readList,
  asNumber,
  readString,
  asString,
  readNumber,
  type UnknownRecord,
} from "../../common/decode.js";
import { SECOND_US } from "../../common/duration.js";
import type { Message } from "../../transport/connection.js";
import type { ApiResponse } from "../http-api.js";
import { readBackendChange } from "../gateway/node-queries.js";

/** A worker whose slots would be in use beyond this part is named. */
const LOADED_PART = 0.8;

export interface BackendsOptions {
  readonly registry: WorkerRegistry;
  readonly cells: () => readonly string[];
  readonly askNodes: (question: Message) => Promise<readonly NodeAnswer[]>;
}

export interface Backends {
  readonly forecast: (order: UnknownRecord) => Promise<ApiResponse>;
  readonly seen: (order: UnknownRecord) => Promise<ApiResponse>;
}

const wrong = (problem: string): ApiResponse => ({ outcome: "wrong", body: { problem } });
const weighted = (rows: readonly UnknownRecord[], field: string): number => {
  const calls = rows.reduce((sum, row) => sum + readNumber(row, "calls"), 0);
  return (
    rows.reduce((sum, row) => sum + readNumber(row, field) * readNumber(row, "calls"), 0) /
    Math.max(1, calls)
  );
};

/** Adds the nodes' rows of one kind up. All nodes see the same quick and slow workers, so their bands don't even out. */
const fleetRow = (rows: readonly UnknownRecord[], unevenness: number): UnknownRecord => {
  const calls = rows.reduce((sum, row) => sum + readNumber(row, "calls"), 0);
  const first = rows[0] ?? {};
  const draws = rows.map((row) => readList(row, "draws", asNumber));
  const fleetDraws = (draws[0] ?? []).map(
    (_share, at) =>
      rows.reduce(
        (sum, row, which) => sum + (draws[which]?.[at] ?? 0) * readNumber(row, "calls"),
        0,
      ) / Math.max(1, calls),
  );
  const moved = weighted(rows, "moved");
  const band = fleetDraws.length > 1 ? joinBandOf(moved, calls, unevenness) : bandOf(moved, calls);
  const toCells: Record<string, number> = {};
  rows.forEach((row) =>
    Object.entries(asRecord(row["toCells"])).forEach(
      ([zone, share]) =>
        (toCells[zone] =
          (toCells[zone] ?? 0) + (asNumber(share) * readNumber(row, "calls")) / Math.max(1, calls)),
    ),
  );
  return {
    service: first["service"],
    kind: first["kind"],
    ...(first["route"] === "" ? {} : { route: first["route"] }),
    calls,
    perS: rows.reduce((sum, row) => sum + readNumber(row, "perS"), 0),
    moved,
    low: Math.max(0, Math.min(...fleetDraws) - band),
    high: Math.min(1, Math.max(...fleetDraws) + band),
    leave: weighted(rows, "leave"),
    join: weighted(rows, "join"),
    toCells,
    newConnections: rows.reduce((sum, row) => sum + readNumber(row, "newConnections"), 0),
  };
};

/** Which calls would move if backends were added or retired, asked of every node. A query: it writes nothing and moves nothing. */
export const openBackends = ({ registry, cells: zones, askNodes }: BackendsOptions): Backends => {
  const ready = (service: string) =>
    registry
      .all()
      .filter((heartbeat) => heartbeat.service === service && heartbeat.state === "ready");
  const membership = (services: readonly string[]) =>
    services
      .flatMap((service) => ready(service).map(({ id }) => id))
      .sort()
      .join();

  const problemOf = (change: BackendChange): string | undefined => {
    const services = new Set(registry.all().map(({ service }) => service));
    if (change.add.length + change.retire.length === 0)
      return "name a backend to add or a worker to retire";
    for (const { service, cell: zone, count } of change.add) {
      if (!services.has(service)) return `there is no service ${service}`;
      if (!zones().includes(zone)) return `there is no cell ${zone}`;
      if (!Number.isSafeInteger(count) || count < 1 || count > 1_000)
        return `${count} is no count of backends from 1 to 1000`;
    }
    if (new Set(change.retire).size < change.retire.length) return "a worker is named twice";
    for (const id of change.retire) {
      const heartbeat = registry.get(id);
      if (!heartbeat || heartbeat.state === "gone") return `there is no worker ${id}`;
      if (heartbeat.state !== "ready") return `worker ${id} is ${heartbeat.state} already`;
    }
    const emptied = [...services].find(
      (service) =>
        ready(service).length > 0 &&
        ready(service).every(({ id }) => change.retire.includes(id)) &&
        !change.add.some((one) => one.service === service),
    );
    return emptied === undefined ? undefined : `all workers of ${emptied} would be gone`;
  };

  const unevennessIn = (service: string, answers: readonly NodeAnswer[]): number => {
    const sums = new Map(ready(service).map(({ id }) => [id, 0]));
    answers.forEach(({ answer }) =>
      readList(answer ?? {}, "loads", (value) => {
        const [id, perS] = [
          readString(asRecord(value), "worker"),
          readNumber(asRecord(value), "perSNow"),
        ];
        const sum = sums.get(id);
        if (sum !== undefined) sums.set(id, sum + perS);
      }),
    );
    return unevennessOf([...sums.values()]);
  };

  const loadsOf = (answers: readonly NodeAnswer[]): readonly UnknownRecord[] => {
    const sums = new Map<string, { now: number; then: number; busy: number }>();
    answers.forEach(({ answer }) =>
      readList(answer ?? {}, "loads", (value) => {
        const row = asRecord(value);
        const sum = sums.get(readString(row, "worker")) ?? { now: 0, then: 0, busy: 0 };
        const [now, then] = [readNumber(row, "perSNow"), readNumber(row, "perSThen")];
        sums.set(readString(row, "worker"), {
          now: sum.now + now,
          then: sum.then + then,
          busy: sum.busy + then * (readNumber(row, "tookUs") / SECOND_US),
        });
      }),
    );
    return [...sums].flatMap(([worker, { now, then, busy }]) => {
      const heartbeat = registry.get(worker);
      const usedPart = heartbeat ? busy / heartbeat.capacity : 0;
      return heartbeat && then > now && usedPart >= LOADED_PART
        ? [
            {
              worker,
              service: heartbeat.service,
              cell: heartbeat.zone,
              perSNow: now,
              perSThen: then,
              usedPart,
            },
          ]
        : [];
    });
  };

  const forecast = async (order: UnknownRecord): Promise<ApiResponse> => {
    let change: BackendChange;
    try {
      change = readBackendChange({ kind: "moves", ...order });
    } catch (error) {
      return wrong(error instanceof Error ? error.message : "unreadable");
    }
    const problem = problemOf(change);
    if (problem !== undefined) return wrong(problem);
    const services = [
      ...new Set([
        ...change.add.map(({ service }) => service),
        ...change.retire.flatMap((id) => registry.get(id)?.service ?? []),
      ]),
    ];
    const before = membership(services);
    const answers = await askNodes({
      kind: "moves",
      services,
      add: change.add,
      retire: change.retire,
      byRoute: change.byRoute,
    });
    const rows = answers.flatMap(({ node, zone, answer }) =>
      readList(answer ?? {}, "rows", (value): UnknownRecord => ({
        node,
        cell: zone,
        ...asRecord(value),
      })),
    );
    const groups = new Map<string, UnknownRecord[]>();
    rows.forEach((row) => {
      const key = [row["service"], row["kind"], row["route"]].join("\n");
      groups.set(key, [...(groups.get(key) ?? []), row]);
    });
    const unheard = answers.filter(({ answer }) => answer === undefined).map(({ node }) => node);
    const few = rows.filter((row) => readNumber(row, "calls") < LEAST_CALLS).length;
    const warnings = [
      ...(unheard.length > 0
        ? [
            `${unheard.length} of ${answers.length} nodes were not heard: ${unheard.slice(0, 5).join(", ")}`,
          ]
        : []),
      ...(few > 0
        ? [`${few} rows of nodes stand on fewer than ${LEAST_CALLS} calls and say little`]
        : []),
      ...services
        .filter((service) => !rows.some((row) => row["service"] === service))
        .map((service) => `no node has lately called ${service}`),
      ...(membership(services) === before
        ? []
        : ["workers came or went while the nodes were asked: ask again"]),
    ];
    return {
      outcome: "taken",
      body: {
        moves: {
          change: { add: change.add, retire: change.retire, byRoute: change.byRoute },
          windowMs: CALLS_WINDOW_US / 1_000,
          confidence: CONFIDENCE,
          fleet: [...groups.values()].map((of) =>
            fleetRow(of, unevennessIn(String(of[0]?.["service"]), answers)),
          ),
          nodes: rows.map((row) =>
            Object.fromEntries(Object.entries(row).filter(([field]) => field !== "draws")),
          ),
          subsets: answers.flatMap(({ node, answer }) =>
            readList(answer ?? {}, "subsets", (value): UnknownRecord => ({
              node,
              ...asRecord(value),
            })),
          ),
          loaded: loadsOf(answers),
          unheard,
          warnings,
        },
      },
    };
  };

  const seen = async (order: UnknownRecord): Promise<ApiResponse> => {
    let services: readonly string[];
    try {
      services = readList(order, "services", asString);
    } catch {
      return wrong("services must be a list of texts");
    }
    const answers = await askNodes({ kind: "seen", services });
    return {
      outcome: "taken",
      body: {
        seen: answers.map(({ node, zone, answer }) => ({
          node,
          cell: zone,
          services: answer?.["services"] ?? [],
          heard: answer !== undefined,
        })),
      },
    };
  };

  return { forecast, seen };
};
