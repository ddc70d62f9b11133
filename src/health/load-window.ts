/** What the nodes' `usage` reports have risen by since the leader last looked. */
import type { Clock } from "../common/clock.js";
import { asList, asNumber, asString } from "../common/decode.js";
import { SECOND_US } from "../common/duration.js";
import type { Message } from "../transport/connection.js";
import { readRowsReport } from "./reports-codec.js";

/**
 * Arrived, rejected and completed requests, and the sum of the completed ones' times in
 * microseconds.
 */
export type LoadFigures = readonly number[];

/** Nothing arrived. */
export const NO_LOAD: LoadFigures = [0, 0, 0, 0];

/** The sum by figure. */
export const addLoad = (one: LoadFigures, other: LoadFigures): LoadFigures =>
  one.map((value, at) => value + (other[at] ?? 0));

/**
 * Counts are by service and zone of its workers; without a zone they are for the service as a
 * whole.
 */
export const loadKey = (service: string, zone = ""): string => `${service}|${zone}`;

interface NodeLoad {
  readonly incarnation: string;
  heardUs: number;
  readonly rows: Map<string, LoadFigures>;
}

/** A node that was not heard for so long does not count as heard. */
const HEARD_US = 6 * SECOND_US;

const readRow = (value: unknown): { readonly key: string; readonly figures: LoadFigures } => {
  const [service, zone, ...figures] = asList(value, "row");
  return { key: loadKey(asString(service), asString(zone)), figures: figures.map(asNumber) };
};

/** Invariant: a report that comes twice, late or out of order adds nothing. */
export class LoadWindow {
  private readonly reported = new Map<string, NodeLoad>();
  private increases = new Map<string, LoadFigures>();

  constructor(private readonly clock: Clock) {}

  /** @throws if the report is malformed, and then nothing of it counts */
  readonly receive = (message: Message): void => {
    const { node, incarnation, rows } = readRowsReport(message, readRow);
    const before = this.reported.get(node);
    const isNew = before === undefined;
    const load: NodeLoad =
      before?.incarnation === incarnation ? before : { incarnation, heardUs: 0, rows: new Map() };
    load.heardUs = this.clock.nowUs();
    this.reported.set(node, load);
    rows.forEach(({ key, figures }) => {
      const last = load.rows.get(key);
      // A node heard for the first time has counted from before this leader looked: it only sets
      // the start.
      if (last || !isNew)
        this.add(
          key,
          figures.map((figure, at) => Math.max(0, figure - (last?.[at] ?? 0))),
        );
      load.rows.set(
        key,
        figures.map((figure, at) => Math.max(figure, last?.[at] ?? 0)),
      );
    });
  };

  /** The increases since the last call, by `loadKey`. */
  readonly takeIncreases = (): ReadonlyMap<string, LoadFigures> => {
    const { increases } = this;
    this.increases = new Map();
    return increases;
  };

  /** How many nodes were heard lately. */
  readonly nodesHeard = (): number => {
    const nowUs = this.clock.nowUs();
    return [...this.reported.values()].filter(({ heardUs }) => nowUs - heardUs <= HEARD_US).length;
  };

  /** Forgets all reports. */
  readonly clear = (): void => {
    this.reported.clear();
    this.increases = new Map();
  };

  private readonly add = (key: string, figures: LoadFigures): void => {
    this.increases.set(key, addLoad(this.increases.get(key) ?? NO_LOAD, figures));
  };
}
