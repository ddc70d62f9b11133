import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { RETRY_LEASE_US, RetryAllocator } from "../../src/quota/retry-allocator.js";
import { RetryBudgets } from "../../src/proxy/retry-budget.js";
import { RetryLeaseRenewer } from "../../src/quota/retry-lease-renewer.js";
import { silentLogger } from "../../src/common/logger.js";
import {
  defaultLimits,
  EVERY_SERVICE,
  findLimit,
  withLimit,
  type RetryLimits,
  type RouteKind,
} from "../../src/quota/retry-limits.js";
import { asList, readList, asNumber, asString } from "../../src/common/decode.js";
import type { Message } from "../../src/transport/connection.js";
import { seeded, Timeline } from "../support/fleet.js";
import { ManualClock, settle } from "../support/manual-clock.js";

const WINDOW_US = 10_000_000;
const KINDS = ["safe", "unsafe"] as const;

interface Event {
  readonly atUs: number;
  readonly kind: RouteKind;
}

interface Node {
  name: string;
  life: string;
  budgets: RetryBudgets;
  cutUntilUs: number;
}

let timeline = new Timeline();
let limits: RetryLimits = {};
let nodes: Node[] = [];
let requests: Event[] = [];
let retries: Event[] = [];
let underLease = 0;
let lives = 0;
let isDoubled = false;
let random = seeded(1);
let offices: { readonly office: RetryAllocator; isUp: boolean }[] = [];

const newBudgets = (): RetryBudgets =>
  new RetryBudgets({
    clock: timeline,
    log: silentLogger,
    windowUs: WINDOW_US,
    limits: () => limits,
  });
const newLife = (name: string): Node => {
  lives += 1;
  return { name, life: `${name}-${lives}`, budgets: newBudgets(), cutUntilUs: 0 };
};
const newOffice = (): void => {
  const office = new RetryAllocator({
    clock: timeline,
    windowUs: WINDOW_US,
    isLeader: () => true,
    limits: () => limits,
  });
  office.refresh();
  offices.push({ office, isUp: true });
};

Given(
  "{int} nodes under a ratio of {float} and a slack of {int} over 10 seconds",
  (count: number, ratio: number, slack: number) => {
    timeline = new Timeline();
    limits = defaultLimits({ ratio, slack, windowUs: WINDOW_US });
    nodes = Array.from({ length: count }, (_none, at) => newLife(`n${at}`));
    [requests, retries, underLease, isDoubled, offices] = [[], [], 0, false, []];
    newOffice();
  },
);
Given("every lease counts twice", () => {
  isDoubled = true;
});

const request = (node: Node, kind: RouteKind, wantsRetry: boolean): void => {
  const budget = node.budgets.of("s", kind);
  budget.recordRequest();
  requests.push({ atUs: timeline.nowUs(), kind });
  if (!wantsRetry || !budget.trySpend()) return;
  retries.push({ atUs: timeline.nowUs(), kind });
  if (budget.leasedTokens() > 0) underLease += 1;
};

When(
  "each sends {int} requests a second and wants a retry for each, for {int} seconds, and node {int} restarts at {int}",
  (perS: number, seconds: number, restarted: number, atS: number) => {
    for (let step = 0; step < seconds * perS; step += 1) {
      if (step === atS * perS) nodes[restarted - 1] = newLife(`n${restarted - 1}`);
      nodes.forEach((node) => request(node, "safe", true));
      timeline.runUntil(timeline.nowUs() + 1_000_000 / perS);
    }
  },
);

/**
 * What the keeper does, over a net that delays and loses: asks go to whichever office the node can
 * reach.
 */
const renew = (node: Node): void => {
  const wants = node.budgets.takeDemands();
  if (wants.length === 0 || timeline.nowUs() < node.cutUntilUs) return;
  const askedUs = timeline.nowUs();
  const reached = offices.filter(({ isUp }) => isUp)[
    random() < 0.5 ? 0 : offices.filter(({ isUp }) => isUp).length - 1
  ];
  const message: Message = { kind: "retry-ask", life: node.life, wants };
  timeline.after(random() * 100_000, () => {
    const reply = reached?.office.handleRequest(message);
    if (!reply || random() < 0.1) return;
    const waitUs = random() < 0.1 ? 450_000 : 50_000 * random();
    timeline.after(waitUs, () => {
      if (timeline.nowUs() < node.cutUntilUs) return;
      readList(reply, "rows", (value) => {
        const [service, kind, tokens] = asList(value);
        const known = KINDS.find((one) => one === asString(kind));
        assert.ok(known);
        node.budgets.of(asString(service), known).setLease({
          tokens: asNumber(tokens) * (isDoubled ? 2 : 1),
          expiresUs: askedUs + RETRY_LEASE_US,
        });
      });
    });
  });
};

const slowdown = (seconds: number): void => {
  const untilUs = timeline.nowUs() + seconds * 1_000_000;
  for (let step = 0; timeline.nowUs() < untilUs; step += 1) {
    // Every 0.2 s each node sends one of either kind; a keeper's gap is 0.8 s.
    nodes.forEach((node, at) => {
      KINDS.forEach((kind) => request(node, kind, random() < 0.8));
      if ((step + at) % 4 === 0) renew(node);
    });
    timeline.runUntil(timeline.nowUs() + 200_000);
  }
};

const fail = (): void => {
  const pick = (): number => Math.floor(random() * nodes.length);
  timeline.every(3_000_000, () => {
    const at = pick();
    nodes[at] = newLife(nodes[at]?.name ?? "");
  });
  timeline.every(5_000_000, () => {
    const node = nodes[pick()];
    if (node) node.cutUntilUs = timeline.nowUs() + 6_000_000;
  });
  // The holder is cut off and goes on giving for a second, till its links are given up; the next
  // one takes the duty 1.5 s later.
  timeline.every(40_000_000, () => {
    const last = offices[offices.length - 1];
    timeline.after(1_000_000, () => {
      if (last) last.isUp = false;
    });
    timeline.after(1_500_000, newOffice);
  });
};

When(
  "a slowdown of {int} seconds makes them want a retry for most requests, with everything failing in turn, seed {int}",
  (seconds: number, seed: number) => {
    random = seeded(seed);
    fail();
    slowdown(seconds);
  },
);
let loweredUs = 0;
let before: RetryLimits = {};
When(
  "after {int} seconds of a slowdown the slack is lowered to {int}",
  (seconds: number, slack: number) => {
    slowdown(seconds);
    loweredUs = timeline.nowUs();
    before = limits;
    limits = defaultLimits({ ratio: 0.02, slack, windowUs: WINDOW_US });
    slowdown(60);
  },
);

/** By how much the limit is passed at most, over all windows that begin with a retry. */
const worstExcess = (by: (fromUs: number) => RetryLimits): number => {
  let worst = -Infinity;
  KINDS.forEach((kind) => {
    const [asked, again] = [requests, retries].map((events) =>
      events.filter((event) => event.kind === kind).map(({ atUs }) => atUs),
    );
    if (!asked || !again) return;
    let [askedFrom, askedTo, to] = [0, 0, 0];
    again.forEach((fromUs, from) => {
      while ((again[to] ?? Infinity) < fromUs + WINDOW_US) to += 1;
      while ((asked[askedFrom] ?? Infinity) < fromUs) askedFrom += 1;
      while ((asked[askedTo] ?? Infinity) < fromUs + WINDOW_US) askedTo += 1;
      const { ratio, slack } = findLimit(by(fromUs), "s", kind);
      worst = Math.max(worst, to - from - (ratio * (askedTo - askedFrom) + slack));
    });
  });
  return worst;
};
Then(
  "in no window do the retries of a kind exceed its ratio times its requests plus its slack",
  () => {
    const worst = worstExcess(() => limits);
    assert.ok(worst <= 0, `passed by ${worst}`);
  },
);
Then(
  "in some window the retries of a kind exceed its ratio times its requests plus its slack",
  () => assert.ok(worstExcess(() => limits) > 0),
);
Then(
  "no window that begins {int} seconds later or more passes the lowered limit, and none before the old one",
  (seconds: number) => {
    assert.ok(
      worstExcess((fromUs) => (fromUs < loweredUs + seconds * 1_000_000 ? before : limits)) <= 0,
    );
  },
);
Then("more than {int} retries were made", (count: number) =>
  assert.ok(retries.length > count, `${retries.length}`),
);
Then("at least {int} retries were made under leases", (count: number) =>
  assert.ok(underLease >= count, `${underLease} of ${retries.length}`),
);
Then("it may retry nothing", () =>
  assert.equal(nodes[0]?.budgets.of("s", "safe").trySpend(), false),
);

let office: RetryAllocator;
const ask = (life: string, wanted: number, held: number): number => {
  const reply = office.handleRequest({
    kind: "retry-ask",
    life,
    wants: [["s", "safe", wanted, held]],
  });
  const [row] = readList(reply, "rows", (value) => asList(value));
  return asNumber(row?.[2]);
};
Given(
  "a holder that has leased {int} tokens of {int} to a node",
  (tokens: number, slack: number) => {
    timeline = new Timeline();
    limits = {
      [EVERY_SERVICE]: {
        safe: { ratio: 0, slack: slack * 1.25 * 1.6 },
        unsafe: { ratio: 0, slack: 0 },
        keyed: { ratio: 0, slack: 0 },
        cached: { ratio: 0, slack: 0 },
      },
    };
    newOffice();
    const first = offices[offices.length - 1];
    assert.ok(first);
    office = first.office;
    timeline.runUntil(timeline.nowUs() + 14_000_000);
    assert.equal(ask("one", tokens, 0), tokens);
  },
);
When("another takes the duty", () => {
  newOffice();
  const next = offices[offices.length - 1];
  assert.ok(next);
  office = next.office;
});
Then(
  "the node's {int} tokens are renewed, and nobody else gets any for {int} seconds",
  (tokens: number, seconds: number) => {
    for (let second = 0; second < seconds; second += 1) {
      assert.deepEqual([ask("one", tokens, tokens), ask("two", 10, 0)], [tokens, 0]);
      timeline.runUntil(timeline.nowUs() + 999_000);
    }
  },
);
Then("after that others get some", () => {
  timeline.runUntil(timeline.nowUs() + 100_000);
  assert.equal(ask("two", 10, 0), 10);
});

const clock = new ManualClock();
let asked = 0;
let budgets: RetryBudgets;
Given("a node with a retry keeper", () => {
  asked = 0;
  limits = defaultLimits({ ratio: 0.2, slack: 100, windowUs: WINDOW_US });
  budgets = new RetryBudgets({
    clock,
    log: silentLogger,
    windowUs: WINDOW_US,
    limits: () => limits,
  });
  const keeper = new RetryLeaseRenewer(clock, budgets, "life", async () => {
    asked += 1;
    return { kind: "retries", rows: [["s", "safe", 5]], lastsUs: RETRY_LEASE_US };
  });
  keeper.start();
});
When(
  "it makes {int} requests and {int} retries",
  async (requestCount: number, retryCount: number) => {
    const budget = budgets.of("s", "safe");
    for (let at = 0; at < requestCount; at += 1) budget.recordRequest();
    for (let at = 0; at < retryCount; at += 1) assert.ok(budget.trySpend());
    await clock.pass(20_000_000);
  },
);
Then("nothing was asked of the holder", () => assert.equal(asked, 0));
When("a retry is refused", () => assert.equal(budgets.of("s", "safe").trySpend(), false));
Then(
  "it asks the holder within a second, takes the lease, and stops asking when it needs none",
  async () => {
    await clock.pass(1_000_000);
    await settle();
    assert.ok(asked > 0);
    assert.equal(budgets.of("s", "safe").leasedTokens(), 5);
    assert.ok(budgets.of("s", "safe").trySpend());
    await clock.pass(20_000_000);
    const askedBefore = asked;
    await clock.pass(20_000_000);
    assert.equal(asked, askedBefore);
  },
);

let result = "";
When(
  "the limit of {word} is set to a ratio of {float} and a slack of {int}, under {float} and {int}",
  (kind: string, ratio: number, slack: number, mostRatio: number, mostSlack: number) => {
    const ceiling = { ratio: mostRatio, slack: mostSlack, windowUs: WINDOW_US };
    const changed = withLimit(defaultLimits(ceiling), ceiling, EVERY_SERVICE, kind, {
      ratio,
      slack,
    });
    result = changed.isOk ? "" : changed.error;
  },
);
Then("it is taken", () => assert.equal(result, ""));
Then("it is refused for {string}", (sentence: string) =>
  assert.ok(result.includes(sentence), result),
);
Then(
  "by default unsafe and keyed have at most half of the ratio and slack of safe, and all slacks fit under the deployment's",
  () => {
    const kinds = defaultLimits({ ratio: 0.2, slack: 70, windowUs: WINDOW_US })[EVERY_SERVICE];
    assert.ok(kinds);
    [kinds.unsafe, kinds.keyed].forEach((strict) =>
      assert.ok(strict.ratio <= kinds.safe.ratio / 2 && strict.slack <= kinds.safe.slack / 2),
    );
    assert.ok(
      kinds.safe.slack + kinds.unsafe.slack + kinds.keyed.slack + kinds.cached.slack <= 70 + 1e-9,
    );
  },
);
