import { createHash } from "node:crypto";
import type { Told } from "./raw-caller.js";
import { TRIES } from "./rig.js";

export const digestOf = (body: string): string =>
  createHash("sha1").update(body, "latin1").digest("hex").slice(0, 12);

/** One try, as its caller sent it. */
export interface Sent {
  readonly tryId: string;
  /** Tries of one order differ in id alone; all after the first follow a promise. */
  readonly order: string;
  readonly kind: "safe" | "unsafe" | "keyed";
  readonly method: string;
  readonly path: string;
  readonly digest: string;
  /** A long body on its connection is passed on as it comes, so a leaving behind it is read only after it. */
  readonly isLong: boolean;
  readonly key: string;
  readonly sentUs: number;
  /** When its caller was gone for good, if it left before it was answered. */
  leftUs: number | undefined;
  /** Its caller waited beyond the time it gave, nothing stood still meanwhile, and no answer before closed the connection. */
  isOwed: boolean;
  /** The whole answer at its place on the connection. */
  told: Told | undefined;
}

/** One whole request, as a worker read it. */
export interface Arrived {
  readonly worker: string;
  readonly tryId: string;
  readonly method: string;
  readonly path: string;
  readonly digest: string;
  readonly ran: boolean;
}

/** One answer that a worker wrote whole to this try. */
export interface Produced {
  readonly tryId: string;
  readonly status: number;
  readonly seal: string;
  readonly digest: string;
}

/** Both sides of a run, each as it was seen on its own sockets. */
export interface History {
  readonly sent: readonly Sent[];
  readonly arrived: readonly Arrived[];
  readonly produced: readonly Produced[];
  /** When the first bytes of a try came to a worker. */
  readonly heads: readonly { readonly tryId: string; readonly atUs: number }[];
  /** Tries whose answer a worker broke off. */
  readonly broken: ReadonlySet<string>;
  /** What the front still held once every caller had gone. */
  readonly leftOpen: number;
}

export type Check = (history: History) => readonly string[];

const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const LEAVING_SEEN_US = 60_000;

const runsOf = ({ arrived }: History, tryId: string): number =>
  arrived.filter((one) => one.ran && one.tryId === tryId).length;

/** Each answer is its caller's own and whole; of keyed orders, that of the key's run. */
const own: Check = ({ sent, produced }) =>
  sent.flatMap(({ tryId, key, kind, method, told }) => {
    if (!told) return [];
    if (told.tryId !== "" && told.tryId !== tryId)
      return [`${tryId} was told the answer of ${told.tryId}`];
    if (told.seal === "")
      return told.status < 300 ? [`${tryId} was told ${told.status} without a seal`] : [];
    const ids = new Set(
      kind === "keyed"
        ? sent.filter((other) => other.key === key).map((other) => other.tryId)
        : [tryId],
    );
    const match = produced.some(
      (one) =>
        ids.has(one.tryId) &&
        one.seal === told.seal &&
        one.status === told.status &&
        (method === "HEAD" || one.digest === digestOf(told.body)),
    );
    return match
      ? []
      : [`${tryId} was told ${told.status} ${told.seal}, which no worker answered it`];
  });

/** What can't be repeated runs once at most, over all tries of its order. */
const once: Check = (history) => {
  const runs = new Map<string, number>();
  history.sent
    .filter(({ kind }) => kind !== "safe")
    .forEach(({ order, tryId }) =>
      runs.set(order, (runs.get(order) ?? 0) + runsOf(history, tryId)),
    );
  return [...runs]
    .filter(([, count]) => count > 1)
    .map(([order, count]) => `${order} ran ${count} times`);
};

/** What was promised not to have run has not run, and never does. */
const promised: Check = (history) =>
  history.sent
    .filter(
      ({ kind, told, tryId }) =>
        kind !== "safe" && told && PROMISES.has(told.status) && runsOf(history, tryId) > 0,
    )
    .map(({ tryId, told }) => `${tryId} was told ${told?.status} and ran`);

/** Workers get what callers sent, and nothing else. */
const asked: Check = ({ sent, arrived }) =>
  arrived.flatMap((one) => {
    const order = sent.find(({ tryId }) => tryId === one.tryId);
    return order &&
      order.method === one.method &&
      order.path === one.path &&
      order.digest === one.digest
      ? []
      : [`${one.worker} got ${one.method} ${one.path} ${one.digest} as ${one.tryId}`];
  });

/** One try never comes to more workers than its route's tries. */
const fewTries: Check = ({ sent, arrived }) =>
  sent.flatMap(({ tryId }) => {
    const workers = new Set(
      arrived.filter((one) => one.tryId === tryId).map(({ worker }) => worker),
    );
    return workers.size > TRIES ? [`${tryId} came to ${workers.size} workers`] : [];
  });

/** One key runs once. */
const oneRunAKey: Check = (history) => {
  const keys = new Set(history.sent.filter(({ kind }) => kind === "keyed").map(({ key }) => key));
  return [...keys].flatMap((key) => {
    const runs = history.sent
      .filter((one) => one.kind === "keyed" && one.key === key)
      .reduce((sum, { tryId }) => sum + runsOf(history, tryId), 0);
    return runs > 1 ? [`key ${key} ran ${runs} times`] : [];
  });
};

/** Who waits gets a whole answer, unless the worker broke it off. */
const answered: Check = ({ sent, broken }) =>
  sent
    .filter(({ isOwed, told, tryId }) => isOwed && !told && !broken.has(tryId))
    .map(({ tryId }) => `${tryId} got no whole answer`);

/** Nothing is sent for a caller that has gone, unless its leaving lies unread behind a long body. */
const inTime: Check = ({ sent, heads: headers }) =>
  headers.flatMap(({ tryId, atUs }) => {
    const { leftUs, isLong } = sent.find((one) => one.tryId === tryId) ?? {
      leftUs: undefined,
      isLong: true,
    };
    return !isLong && leftUs !== undefined && atUs > leftUs + LEAVING_SEEN_US
      ? [`${tryId} was sent ${atUs - leftUs} us after its caller had left`]
      : [];
  });

/** Nothing is left behind. */
const allClosed: Check = ({ leftOpen }) =>
  leftOpen === 0 ? [] : [`${leftOpen} requests and calls were left open`];

export const CHECKS = {
  own,
  once,
  promised,
  asked,
  fewTries,
  oneRunAKey,
  answered,
  inTime,
  allClosed,
} as const satisfies Readonly<Record<string, Check>>;
export type CheckName = keyof typeof CHECKS;
const isName = (name: string): name is CheckName => name in CHECKS;
export const CHECK_NAMES: readonly CheckName[] = Object.keys(CHECKS).filter(isName);

export interface Violation {
  readonly check: CheckName;
  readonly what: string;
}

export const violationsOf = (history: History): readonly Violation[] =>
  CHECK_NAMES.flatMap((check) => CHECKS[check](history).map((what) => ({ check, what })));
