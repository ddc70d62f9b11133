import type { Registry } from "../../membership/worker-registry.js";
import type { NodeAnswer } from "../../membership/node-sessions.js";
import { CALLS_WINDOW_US } from "../../proxy/request-counters.js";
import {
  bandOf,
  CONFIDENCE,
  joinBandOf,
  LEAST_CALLS,
  unevennessOf,
  type BackendChange,
} from "../../proxy/reassignment-forecast.js";
import { asRec, list, numberOf, text, textOf, whole, type Rec } from "../../common/decode.js";
import { SECOND } from "../../common/duration.js";
import type { Message } from "../../transport/connection.js";
import type { Verdict } from "../http-api.js";
import { readBackendChange } from "../gateway/node-queries.js";

/** A worker whose slots would be in use beyond this part is named. */
const LOADED_PART = 0.8;

export interface BackendsOptions {
  readonly registry: Registry;
  readonly cells: () => readonly string[];
  readonly askNodes: (question: Message) => Promise<readonly NodeAnswer[]>;
}

export interface Backends {
  readonly forecast: (order: Rec) => Promise<Verdict>;
  readonly seen: (order: Rec) => Promise<Verdict>;
}

const wrong = (problem: string): Verdict => ({ outcome: "wrong", body: { problem } });
const weighted = (rows: readonly Rec[], field: string): number => {
  const calls = rows.reduce((sum, row) => sum + whole(row, "calls"), 0);
  return (
    rows.reduce((sum, row) => sum + whole(row, field) * whole(row, "calls"), 0) / Math.max(1, calls)
  );
};

/** Adds the nodes' rows of one kind up. All nodes see the same quick and slow workers, so their bands don't even out. */
const fleetRow = (rows: readonly Rec[], unevenness: number): Rec => {
  const calls = rows.reduce((sum, row) => sum + whole(row, "calls"), 0);
  const first = rows[0] ?? {};
  const draws = rows.map((row) => list(row, "draws", numberOf));
  const fleetDraws = (draws[0] ?? []).map(
    (_share, at) =>
      rows.reduce((sum, row, which) => sum + (draws[which]?.[at] ?? 0) * whole(row, "calls"), 0) /
      Math.max(1, calls),
  );
  const moved = weighted(rows, "moved");
  const band = fleetDraws.length > 1 ? joinBandOf(moved, calls, unevenness) : bandOf(moved, calls);
  const toCells: Record<string, number> = {};
  rows.forEach((row) =>
    Object.entries(asRec(row["toCells"])).forEach(
      ([cell, share]) =>
        (toCells[cell] =
          (toCells[cell] ?? 0) + (numberOf(share) * whole(row, "calls")) / Math.max(1, calls)),
    ),
  );
  return {
    service: first["service"],
    kind: first["kind"],
    ...(first["route"] === "" ? {} : { route: first["route"] }),
    calls,
    perS: rows.reduce((sum, row) => sum + whole(row, "perS"), 0),
    moved,
    low: Math.max(0, Math.min(...fleetDraws) - band),
    high: Math.min(1, Math.max(...fleetDraws) + band),
    leave: weighted(rows, "leave"),
    join: weighted(rows, "join"),
    toCells,
    newConnections: rows.reduce((sum, row) => sum + whole(row, "newConnections"), 0),
  };
};

/** Which calls would move if backends were added or retired, asked of every node. A query: it writes nothing and moves nothing. */
export const openBackends = ({ registry, cells, askNodes }: BackendsOptions): Backends => {
  const ready = (service: string) =>
    registry.all().filter((beat) => beat.service === service && beat.state === "ready");
  const membership = (services: readonly string[]) =>
    services
      .flatMap((service) => ready(service).map(({ id }) => id))
      .sort()
      .join();

  const problemOf = (change: BackendChange): string | undefined => {
    const services = new Set(registry.all().map(({ service }) => service));
    if (change.add.length + change.retire.length === 0)
      return "name a backend to add or a worker to retire";
    for (const { service, cell, count } of change.add) {
      if (!services.has(service)) return `there is no service ${service}`;
      if (!cells().includes(cell)) return `there is no cell ${cell}`;
      if (!Number.isSafeInteger(count) || count < 1 || count > 1_000)
        return `${count} is no count of backends from 1 to 1000`;
    }
    if (new Set(change.retire).size < change.retire.length) return "a worker is named twice";
    for (const id of change.retire) {
      const beat = registry.get(id);
      if (!beat || beat.state === "gone") return `there is no worker ${id}`;
      if (beat.state !== "ready") return `worker ${id} is ${beat.state} already`;
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
      list(answer ?? {}, "loads", (value) => {
        const [id, perS] = [text(asRec(value), "worker"), whole(asRec(value), "perSNow")];
        const sum = sums.get(id);
        if (sum !== undefined) sums.set(id, sum + perS);
      }),
    );
    return unevennessOf([...sums.values()]);
  };

  const loadsOf = (answers: readonly NodeAnswer[]): readonly Rec[] => {
    const sums = new Map<string, { now: number; then: number; busy: number }>();
    answers.forEach(({ answer }) =>
      list(answer ?? {}, "loads", (value) => {
        const row = asRec(value);
        const sum = sums.get(text(row, "worker")) ?? { now: 0, then: 0, busy: 0 };
        const [now, then] = [whole(row, "perSNow"), whole(row, "perSThen")];
        sums.set(text(row, "worker"), {
          now: sum.now + now,
          then: sum.then + then,
          busy: sum.busy + then * (whole(row, "tookUs") / SECOND),
        });
      }),
    );
    return [...sums].flatMap(([worker, { now, then, busy }]) => {
      const beat = registry.get(worker);
      const usedPart = beat ? busy / beat.capacity : 0;
      return beat && then > now && usedPart >= LOADED_PART
        ? [
            {
              worker,
              service: beat.service,
              cell: beat.cell,
              perSNow: now,
              perSThen: then,
              usedPart,
            },
          ]
        : [];
    });
  };

  const forecast = async (order: Rec): Promise<Verdict> => {
    let change: BackendChange;
    try {
      change = readBackendChange({ kind: "moves", ...order });
    } catch (mishap) {
      return wrong(mishap instanceof Error ? mishap.message : "unreadable");
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
    const rows = answers.flatMap(({ node, cell, answer }) =>
      list(answer ?? {}, "rows", (value): Rec => ({ node, cell, ...asRec(value) })),
    );
    const groups = new Map<string, Rec[]>();
    rows.forEach((row) => {
      const key = [row["service"], row["kind"], row["route"]].join("\n");
      groups.set(key, [...(groups.get(key) ?? []), row]);
    });
    const unheard = answers.filter(({ answer }) => answer === undefined).map(({ node }) => node);
    const few = rows.filter((row) => whole(row, "calls") < LEAST_CALLS).length;
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
            list(answer ?? {}, "subsets", (value): Rec => ({ node, ...asRec(value) })),
          ),
          loaded: loadsOf(answers),
          unheard,
          warnings,
        },
      },
    };
  };

  const seen = async (order: Rec): Promise<Verdict> => {
    let services: readonly string[];
    try {
      services = list(order, "services", textOf);
    } catch {
      return wrong("services must be a list of texts");
    }
    const answers = await askNodes({ kind: "seen", services });
    return {
      outcome: "taken",
      body: {
        seen: answers.map(({ node, cell, answer }) => ({
          node,
          cell,
          services: answer?.["services"] ?? [],
          heard: answer !== undefined,
        })),
      },
    };
  };

  return { forecast, seen };
};
