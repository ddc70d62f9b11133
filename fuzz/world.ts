import type { Socket } from "node:net";
import { settle } from "../features/support/manual-clock.js";
import { digestOf, type Arrived, type History, type Produced, type Sent } from "./checks.js";
import { RawCaller, requestOf } from "./raw-caller.js";
import { sleep, type Clock } from "../src/common/clock.js";
import { HOST, Rig, type OneBook, type RigOptions } from "./rig.js";
import type { Act, CallerPlan, DeskAct, RequestPlan, Scenario, WorkerPlan } from "./scenario.js";
import { answerOf, ScriptedWorker, type Arrival } from "./scripted-worker.js";

const MS = 1_000;
const STEP_US = 10 * MS;
const PATIENCE_US = 500 * MS;
const LONGEST_US = 30_000 * MS;
const DESK_LATE_US = 90 * MS;
const DESK_LOST_US = 600 * MS;
const LONG = "z".repeat(200_000);
const LARGE = "y".repeat(400_000);
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** So often an order is sent again after a promise. */
const MOST_AGAIN = 2;

/** A lie told by the world instead of a fault built into the front: what the checks then see is the same. */
export interface Lies {
  /** Workers run what they say they turned away. */
  readonly runsWhatItSheds?: boolean;
  /** A late answer bears the id of the try that is due. */
  readonly borrowsIds?: boolean;
  /** What callers say they sent is not what they sent. */
  readonly alters?: boolean;
  /** Callers that leave keep their connections, so nobody can notice. */
  readonly leavesUnseen?: boolean;
}

/** One scenario on real sockets: a front, and workers and callers around it, on one clock that only moves when told. */
export class World {
  private readonly rig: Rig;
  private readonly due: { readonly atUs: number; readonly act: () => void }[] = [];
  private readonly sent: Sent[] = [];
  private readonly arrived: Arrived[] = [];
  private readonly produced: Produced[] = [];
  private readonly heads: { readonly tryId: string; readonly atUs: number }[] = [];
  private readonly broken = new Set<string>();
  private readonly stoodStillUs: number[] = [];
  private readonly workers: ScriptedWorker[] = [];
  private readonly callers: RawCaller[] = [];
  private waiting = 0;
  private tries = 0;
  private orders = 0;

  constructor(
    private readonly scenario: Scenario,
    options: RigOptions = {},
    private readonly lies: Lies = {},
  ) {
    this.rig = new Rig({ desk: this.desk, ...options });
  }

  /** The book of keys is sound; the way to it is not. */
  private readonly desk = (book: OneBook, clock: Clock): Pick<OneBook, "ask" | "tell"> => {
    let said = 0;
    const next = (): DeskAct =>
      this.scenario.desk[said++ % this.scenario.desk.length] ?? "answered";
    return {
      ask: async (message) => {
        const act = next();
        const reply = act === "lost on its way" ? undefined : await book.ask(message);
        if (act !== "answered")
          await sleep(clock, act === "answered late" ? DESK_LATE_US : DESK_LOST_US);
        return act === "answered" || act === "answered late" ? reply : undefined;
      },
      tell: (message) => {
        if (next() !== "lost on its way") book.tell(message);
      },
    };
  };

  readonly run = async (): Promise<History> => {
    const { rig, scenario } = this;
    const { leaping, clock } = rig;
    await rig.start();
    const startUs = leaping.nowUs();
    for (const [at, plan] of scenario.workers.entries())
      await rig.join(this.worker(`w${at + 1}`, plan));
    scenario.callers.forEach((plan) => {
      this.waiting += 1;
      this.after(plan.startMs, () =>
        this.call(
          plan,
          plan.requests.map(() => this.newOrder()),
          0,
        ),
      );
    });
    const standstills = [...scenario.standstills].sort((one, other) => one.atMs - other.atMs);
    while (this.waiting > 0 && leaping.nowUs() - startUs < LONGEST_US) {
      await clock.pass(STEP_US);
      this.runDue(leaping.nowUs());
      const next = standstills[0];
      if (!next || leaping.nowUs() < startUs + next.atMs * MS) continue;
      standstills.shift();
      await this.settleAll();
      this.standStill(next.spanMs * MS);
    }
    const leftOpen = async (): Promise<number> => {
      const open = () =>
        rig.front.openRequests + rig.pool.all().reduce((sum, { own }) => sum + own, 0);
      for (let step = 0; step < 700 && open() > 0; step += 1) await clock.pass(STEP_US);
      return open();
    };
    const left = await leftOpen();
    rig.stop();
    this.workers.forEach((worker) => worker.stop());
    this.callers.forEach(({ socket }) => socket.destroy());
    await settle(4);
    const { sent, arrived, produced, heads: headers, broken } = this;
    return { sent, arrived, produced, heads: headers, broken, leftOpen: left };
  };

  /** What has left arrives, and what follows from it at this same time. */
  private readonly settleAll = async (): Promise<void> => {
    const seen = () =>
      this.heads.length +
      this.arrived.length +
      this.callers.reduce((sum, { told }) => sum + told.length, 0);
    for (let before = -1; before !== seen();) {
      before = seen();
      await settle(20);
    }
  };

  private readonly newOrder = (): string => `o-${(this.orders += 1)}`;

  private readonly after = (waitMs: number, act: () => void): void => {
    this.due.push({ atUs: this.rig.leaping.nowUs() + waitMs * MS, act });
    this.due.sort((one, other) => one.atUs - other.atUs);
  };

  private readonly runDue = (untilUs: number): void => {
    for (let next = this.due[0]; next && next.atUs <= untilUs; next = this.due[0]) {
      this.due.shift();
      const { leaping } = this.rig;
      leaping.leap(Math.max(0, next.atUs - leaping.nowUs()));
      next.act();
    }
  };

  /** Everybody acts but the front, whose loop doesn't turn while this runs. */
  private readonly standStill = (spanUs: number): void => {
    const { leaping } = this.rig;
    const endUs = leaping.nowUs() + spanUs;
    this.stoodStillUs.push(leaping.nowUs(), endUs);
    this.runDue(endUs);
    leaping.leap(Math.max(0, endUs - leaping.nowUs()));
  };

  private readonly call = (plan: CallerPlan, orders: readonly string[], again: number): void => {
    const { rig } = this;
    const caller = new RawCaller(rig.host, rig.port);
    this.callers.push(caller);
    const own: Sent[] = [];
    let isOver = false;
    const end = (isLeaving: boolean): void => {
      if (isOver) return;
      isOver = true;
      this.waiting -= 1;
      const nowUs = rig.leaping.nowUs();
      own.forEach((sent, at) => {
        sent.told = caller.told[at];
        if (isLeaving && !sent.told) sent.leftUs = nowUs;
      });
      this.judgeOwed(plan, caller, own, isLeaving, nowUs);
      if (isLeaving && this.lies.leavesUnseen === true) caller.socket.pause();
      else if (isLeaving && plan.leaves?.resets === true) caller.socket.resetAndDestroy();
      else caller.socket.destroy();
      if (!plan.leaves && again < MOST_AGAIN) this.callAgain(plan, orders, own, again);
    };
    const sendNext = (): void => {
      const request = plan.requests[own.length];
      if (!request || isOver) return;
      this.send(caller, plan, own, request, orders[own.length] ?? "");
      this.after(request.leftMs + PATIENCE_US / MS, () => end(true));
      if (plan.isPipelined) sendNext();
    };
    const look = (): void => {
      if (isOver) return;
      if (caller.told.length === plan.requests.length || caller.isClosed) return end(false);
      if (caller.told.length === own.length) sendNext();
      this.after(STEP_US / MS, look);
    };
    sendNext();
    if (plan.leaves) this.after(plan.leaves.afterMs, () => end(true));
    this.after(STEP_US / MS, look);
  };

  /** Orders go again only after a promise, each as a new try, as callers do. */
  private readonly callAgain = (
    plan: CallerPlan,
    orders: readonly string[],
    own: readonly Sent[],
    again: number,
  ): void => {
    const promised = own
      .map((sent, at) => ({ sent, order: orders[at] ?? "", request: plan.requests[at] }))
      .filter(({ sent }) => sent.told && PROMISES.has(sent.told.status));
    const requests = promised.flatMap(({ request }) => (request ? [request] : []));
    if (requests.length === 0) return;
    this.waiting += 1;
    this.after(50, () =>
      this.call(
        { ...plan, requests },
        promised.map(({ order }) => order),
        again + 1,
      ),
    );
  };

  /** Only the first without an answer on a connection can be owed one: what is behind it waits on it. */
  private readonly judgeOwed = (
    plan: CallerPlan,
    caller: RawCaller,
    own: readonly Sent[],
    isLeaving: boolean,
    nowUs: number,
  ): void => {
    const first = own[caller.told.length];
    if (!first || caller.told.some(({ head }) => /^connection: close/im.test(head))) return;
    const stoodStill =
      this.stoodStillUs.some((atUs) => atUs >= first.sentUs && atUs <= nowUs) ||
      this.stoodStillUs.some(
        (fromUs, at) =>
          at % 2 === 0 &&
          fromUs <= first.sentUs &&
          first.sentUs <= (this.stoodStillUs[at + 1] ?? 0),
      );
    // Behind a body passed on as it comes, a request is read only once that body is.
    if (
      plan.isPipelined &&
      plan.requests.slice(0, caller.told.length).some(({ body }) => body === "long")
    )
      return;
    const left = (plan.requests[caller.told.length]?.leftMs ?? 0) * MS;
    first.isOwed = !stoodStill && (!isLeaving || nowUs - first.sentUs >= left + PATIENCE_US);
  };

  private readonly send = (
    caller: RawCaller,
    plan: CallerPlan,
    own: Sent[],
    request: RequestPlan,
    order: string,
  ): void => {
    this.tries += 1;
    const tryId = `t-${this.tries}`;
    const method = request.kind !== "safe" ? "POST" : request.isHead ? "HEAD" : "GET";
    const path = `/${request.kind}/x?n=${this.tries}`;
    const body =
      method !== "POST" || request.body === "none"
        ? ""
        : request.body === "long"
          ? `${tryId} ${LONG}`
          : `${tryId} an order`;
    const key = request.kind === "keyed" ? `k-${request.key}` : "";
    const digest = digestOf(this.lies.alters === true ? `${body}.` : body);
    const sent: Sent = {
      tryId,
      order,
      kind: request.kind,
      method,
      path,
      digest,
      isLong: plan.requests.some(({ body: size }) => size === "long"),
      key,
      sentUs: this.rig.leaping.nowUs(),
      leftUs: undefined,
      isOwed: false,
      told: undefined,
    };
    own.push(sent);
    this.sent.push(sent);
    const headers = {
      "Yewreel-Try-Id": tryId,
      "Yewreel-Time-Left-Ms": String(request.leftMs),
      ...(key === "" ? {} : { "Yewreel-Operation-Key": key }),
    };
    if (request.manner === "at once" || body === "")
      return caller.send(method, path, headers, body);
    caller.expect(method);
    const half = Math.floor(body.length / 2);
    const [front, back] = [body.slice(0, half), body.slice(half)];
    if (request.manner === "chunked") {
      const lines = Object.entries({ Host: HOST, "Transfer-Encoding": "chunked", ...headers }).map(
        ([name, value]) => `${name}: ${value}\r\n`,
      );
      caller.write(
        `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${[front, back].map((part) => `${part.length.toString(16)}\r\n${part}\r\n`).join("")}0\r\n\r\n`,
      );
      return;
    }
    const bytes = requestOf(method, path, headers, body);
    caller.write(bytes.slice(0, bytes.length - back.length));
    caller.hold(back);
    this.after(40, caller.flush);
  };

  private readonly worker = (id: string, plan: WorkerPlan): ScriptedWorker => {
    let seen = 0;
    const acts = new WeakMap<Socket, Act>();
    const early = new WeakSet<Socket>();
    const worker: ScriptedWorker = new ScriptedWorker(id, {
      onHead: (head, socket) => {
        this.heads.push({ tryId: head.tryId, atUs: this.rig.leaping.nowUs() });
        const act = plan.acts[seen % plan.acts.length] ?? "answers";
        seen += 1;
        acts.set(socket, act);
        if (act === "resets at the head") socket.resetAndDestroy();
        if (act !== "answers early") return;
        early.add(socket);
        socket.write(this.produce({ ...head, body: "" }, 413, "too early"));
      },
      onRequest: (arrival, socket) => {
        const act = acts.get(socket) ?? "answers";
        const isMine = arrival.expected === id && act !== "is another";
        const isAway = act === "sheds" || act === "limits" || act === "cuts its refusal";
        this.arrived.push({
          worker: id,
          tryId: arrival.tryId,
          method: arrival.method,
          path: arrival.path,
          digest: digestOf(arrival.body),
          ran: isMine && (!isAway || this.lies.runsWhatItSheds === true),
        });
        if (!isMine)
          return void socket.write(
            answerOf(421, { "Yewreel-Try-Id": arrival.tryId, "Yewreel-Worker-Id": "w-other" }),
          );
        if (!early.has(socket)) this.act(act, arrival, socket, plan.delayMs);
        early.delete(socket);
      },
    });
    this.workers.push(worker);
    return worker;
  };

  /** An answer that the worker means for this try, remembered as such. */
  private readonly produce = (
    arrival: Arrival,
    status: number,
    body: string,
    headers: Readonly<Record<string, string | undefined>> = {},
  ): string => {
    const seal = `s.${arrival.worker}.${arrival.tryId}.${this.produced.length}`;
    this.produced.push({ tryId: arrival.tryId, status, seal, digest: digestOf(body) });
    return answerOf(
      status,
      { "Yewreel-Try-Id": arrival.tryId, "Yewreel-Server-Seal": seal, ...headers },
      arrival.method === "HEAD" ? "" : body,
    );
  };

  /** Late answers of every kind, to somebody else. */
  private readonly late = (arrival: Arrival, delayMs: number): string => {
    const id = this.lies.borrowsIds === true ? arrival.tryId : "t-somebody-else";
    const answers: readonly [number, Readonly<Record<string, string>>, string][] = [
      [200, { "Yewreel-Server-Seal": "s.extra" }, "EXTRA"],
      [503, { "Yewreel-Not-Run": "1" }, ""],
      [421, {}, ""],
      [500, { "Yewreel-Server-Seal": "s.extra" }, "EXTRA"],
    ];
    const [status, headers, body] = answers[delayMs % answers.length] ?? [200, {}, ""];
    return answerOf(status, { "Yewreel-Try-Id": id, ...headers }, body);
  };

  private readonly act = (act: Act, arrival: Arrival, socket: Socket, delayMs: number): void => {
    const { tryId } = arrival;
    const body = `ran ${tryId}`;
    const plain = (status = 200): string => this.produce(arrival, status, body);
    const breakOff = (bytes: string): void => {
      this.broken.add(tryId);
      socket.end(bytes);
    };
    switch (act) {
      case "answers":
      case "answers early":
      case "is another":
        return void socket.write(plain());
      case "answers in pieces": {
        const bytes = plain();
        for (let at = 0; at < bytes.length; at += 40)
          this.after(10 + at / 4, () => socket.write(bytes.slice(at, at + 40)));
        return;
      }
      case "answers in chunks": {
        const head =
          this.produce(arrival, 200, body, {
            "Content-Length": undefined,
            "Transfer-Encoding": "chunked",
          }).split("\r\n\r\n")[0] ?? "";
        return void socket.write(
          arrival.method === "HEAD"
            ? `${head}\r\n\r\n`
            : `${head}\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
        );
      }
      case "answers slowly":
        return this.after(delayMs, () => socket.write(plain()));
      case "answers large":
        return void socket.write(this.produce(arrival, 200, LARGE));
      case "answers and closes":
        return void socket.end(this.produce(arrival, 200, body, { Connection: "close" }));
      case "answers and doubles":
        return void socket.write(plain() + this.late(arrival, delayMs));
      case "answers behind a hint":
        return void socket.write(`HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n${plain()}`);
      case "answers behind a late one":
        return void socket.write(this.late(arrival, delayMs) + plain());
      case "answers and doubles late":
        socket.write(plain());
        return this.after(delayMs / 4, () => socket.write(this.late(arrival, delayMs)));
      case "answers and writes rubbish late":
        socket.write(plain());
        return this.after(delayMs / 4, () => socket.write("\u0001\u0002\r\n\r\n"));
      case "answers and resets late":
        socket.write(plain());
        return this.after(delayMs / 4, () => socket.resetAndDestroy());
      case "fails":
        return void socket.write(plain(500));
      case "knows nothing of it":
        return void socket.write(plain(404));
      case "sheds":
        return void socket.write(
          answerOf(503, { "Yewreel-Try-Id": tryId, "Yewreel-Not-Run": "1" }),
        );
      case "limits":
        return void socket.write(
          answerOf(429, { "Yewreel-Try-Id": tryId, "Yewreel-Not-Run": "1" }),
        );
      case "fails without saying whether it ran":
        return void socket.write(plain([503, 429, 408][delayMs % 3]));
      case "forgets the seal":
        return void socket.write(answerOf(200, { "Yewreel-Try-Id": tryId }, body));
      case "tells two ids":
        return void socket.write(
          plain().replace(
            "Yewreel-Server-Seal",
            "Yewreel-Try-Id: t-somebody-else\r\nYewreel-Server-Seal",
          ),
        );
      case "tells another id":
        return void socket.write(this.late(arrival, delayMs));
      case "tells no id":
        return void socket.write(answerOf(503, { "Yewreel-Not-Run": "1" }));
      case "cuts the head":
        return breakOff(plain().slice(0, 40));
      case "cuts the body":
        return breakOff(plain().slice(0, -2));
      case "cuts a large body":
        return breakOff(this.produce(arrival, 200, LARGE).slice(0, -2));
      case "cuts its refusal":
        return breakOff(
          answerOf(503, { "Yewreel-Try-Id": tryId, "Yewreel-Not-Run": "1" }, "full").slice(0, -2),
        );
      case "loses the answer":
      case "resets at the head":
        this.broken.add(tryId);
        return void socket.resetAndDestroy();
      case "continues unasked":
        return void socket.write(`HTTP/1.1 100 Continue\r\n\r\n${plain()}`);
      case "is silent":
        return;
    }
  };
}
