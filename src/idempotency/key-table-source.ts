/** Serves a replica's key table to other replicas in pages of bounded size. */
import { asString, readList } from "../common/decode.js";
import type { Message } from "../transport/connection.js";
import {
  KEY_MESSAGE,
  packKeyRow,
  packPageEnd,
  packPurgeRow,
  readListResponses,
  readPosition,
  type KeyRow,
  type PageEnd,
  type StoredResponse,
  type TablePosition,
} from "./key-codec.js";
import type { IdempotencyKeyTable } from "./key-table.js";
import { bodyCopies, isHolder } from "./response-placement.js";

/** Dependencies of {@link KeyTableSource}. */
export interface KeyTableSourceOptions {
  readonly table: IdempotencyKeyTable;
  readonly withstandMachines: number;
  /** Whether this replica counts in quorums. */
  readonly isVoting: () => boolean;
}

/** Approximate size of a page. A single larger response still makes a page of its own. */
export const PAGE_BYTES = 128 * 1024;
/** Changes looked at for one page, so that a page is made in one short turn. */
const MAX_SCANNED_CHANGES = 4_096;
/** Size of a row beside its key, token, headers and body: field names, age and status. */
const ROW_OVERHEAD_BYTES = 60;

const sizeOf = ({ key, token, answer }: KeyRow): number =>
  key.length + token.length + ROW_OVERHEAD_BYTES + responseBytes(answer);

const responseBytes = (answer: StoredResponse | undefined): number =>
  (answer?.body?.length ?? 0) + (answer?.heads ?? []).reduce((sum, { length }) => sum + length, 0);

/** A row of which only claims need to know: that the operation has completed, and its status. */
const withoutResponse = (row: KeyRow): KeyRow => ({
  ...row,
  answer: row.answer && { status: row.answer.status, heads: [], body: undefined },
});

/** Answers the requests of replicas that copy keys and responses of this one. */
export class KeyTableSource {
  constructor(private readonly options: KeyTableSourceOptions) {}

  /**
   * Responds with a page of claims. Controllers of earlier versions send no position, and get the
   * table in one message, since they would take a page for all of it.
   *
   * @throws DecodeError if the message is malformed
   */
  readonly readTable = (message: Message): Message => {
    const { table, isVoting } = this.options;
    const position = readPosition(message);
    const counts = isVoting();
    if (!position) return { kind: KEY_MESSAGE.response, counts, ...table.pack() };
    const rows: KeyRow[] = [];
    let leftBytes = PAGE_BYTES;
    const end = this.scan(position, (fullRow) => {
      const row = withoutResponse(fullRow);
      rows.push(row);
      leftBytes -= sizeOf(row);
      return leftBytes > 0;
    });
    return {
      kind: KEY_MESSAGE.response,
      counts,
      ...packPageEnd(end),
      keys: rows.map(packKeyRow),
      purges: end.isLast ? table.purgeRows().map(packPurgeRow) : [],
    };
  };

  /**
   * Responds with a page of the keys whose bodies are stored here and must be stored at the
   * requester. Keys past their window are left out, since nothing is promised of them.
   *
   * @throws DecodeError if the message is malformed
   */
  readonly listResponses = (message: Message): Message => {
    const { position, holder, members } = readListResponses(message);
    const copies = bodyCopies(members, this.options.withstandMachines);
    const keys: string[] = [];
    let leftBytes = PAGE_BYTES;
    const end = this.scan(position, ({ key, ageUs, answer }) => {
      if (!answer?.body || ageUs > this.options.table.keyWindowUs) return true;
      if (!isHolder(key, holder, members, copies)) return true;
      keys.push(key);
      leftBytes -= key.length;
      return leftBytes > 0;
    });
    return { kind: KEY_MESSAGE.response, ...packPageEnd(end), keys };
  };

  /**
   * Responds with as many of the requested responses as a page holds, and with the keys among them
   * whose bodies are not stored here.
   *
   * @throws DecodeError if the message is malformed
   */
  readonly readResponses = (message: Message): Message => {
    const rows: KeyRow[] = [];
    const absent: string[] = [];
    let leftBytes = PAGE_BYTES;
    for (const key of readList(message, "keys", asString)) {
      if (leftBytes <= 0) break;
      const row = this.options.table.row(key);
      if (row?.answer?.body) {
        rows.push(row);
        leftBytes -= sizeOf(row);
      } else absent.push(key);
    }
    return { kind: KEY_MESSAGE.response, keys: rows.map(packKeyRow), absent };
  };

  /** Visits the rows changed since a position, each once, until `visit` returns false. */
  private readonly scan = (
    { feed, after }: TablePosition,
    visit: (row: KeyRow) => boolean,
  ): PageEnd => {
    const { table } = this.options;
    let scanned = 0;
    let isFull = false;
    const { next, isAtEnd } = table.changes.scan(
      feed === table.changes.id ? after : 0,
      (key, position) => {
        if (isFull || scanned >= MAX_SCANNED_CHANGES) return false;
        scanned += 1;
        const row = table.isLatestChange(key, position) ? table.row(key) : undefined;
        if (row) isFull = !visit(row);
        return true;
      },
    );
    return { position: { feed: table.changes.id, after: next }, isLast: isAtEnd };
  };
}
