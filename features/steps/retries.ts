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
  incarnation: string;
  budgets: RetryBudgets;
  partitionedUntilUs: number;
}

let timeline = new Timeline();
let limits: RetryLimits = {};
let nodes: Node[] = [];
let requests: Event[] = [];
let retries: Event[] = [];
let retriesUnderLease = 0;
let incarnationCount = 0;
let isLeaseDoubled = false;
let random = seeded(1);
let allocators: { readonly allocator: RetryAllocator; isUp: boolean }[] = [];

const newBudgets = (): RetryBudgets =>
  new RetryBudgets({
    clock: timeline,
    log: silentLogger,
    windowUs: WINDOW_US,
    limits: () => limits,
  });
const startNode = (name: string): Node => {
  incarnationCount += 1;
  return {
    name,
    incarnation: `${name}-${incarnationCount}`,
    budgets: newBudgets(),
    partitionedUntilUs: 0,
  };
};
const startAllocator = (): void => {
  const allocator = new RetryAllocator({
    clock: timeline,
    windowUs: WINDOW_US,
    isLeader: () => true,
    limits: () => limits,
  });
  allocator.refresh();
  allocators.push({ allocator, isUp: true });
};

Given(
  "{int} node(s) with a retry limit of ratio {float} and slack {int} over 10 seconds",
  (count: number, ratio: number, slack: number) => {
    timeline = new Timeline();
    limits = defaultLimits({ ratio, slack, windowUs: WINDOW_US });
    nodes = Array.from({ length: count }, (_none, at) => startNode(`n${at}`));
    [requests, retries, retriesUnderLease, isLeaseDoubled, allocators] = [[], [], 0, false, []];
    startAllocator();
  },
);
Given("every node uses twice the tokens of its leases", () => {
  isLeaseDoubled = true;
});

const request = (node: Node, kind: RouteKind, wantsRetry: boolean): void => {
  const budget = node.budgets.budgetFor("s", kind);
  budget.recordRequest();
  requests.push({ atUs: timeline.nowUs(), kind });
  if (!wantsRetry || !budget.trySpend()) return;
  retries.push({ atUs: timeline.nowUs(), kind });
  if (budget.leasedTokens() > 0) retriesUnderLease += 1;
};

When(
  "each sends {int} requests per second and attempts a retry of each, for {int} seconds, and node {int} restarts after {int}",
  (perS: number, seconds: number, restarted: number, atS: number) => {
    for (let step = 0; step < seconds * perS; step += 1) {
      if (step === atS * perS) nodes[restarted - 1] = startNode(`n${restarted - 1}`);
      nodes.forEach((node) => request(node, "safe", true));
      timeline.runUntil(timeline.nowUs() + 1_000_000 / perS);
    }
  },
);

/**
 * Does the work of a lease renewer on a network that delays and loses messages. A request goes to
 * the first or the last allocator that is up.
 */
const renew = (node: Node): void => {
  const demands = node.budgets.takeDemands();
  if (demands.length === 0 || timeline.nowUs() < node.partitionedUntilUs) return;
  const requestedUs = timeline.nowUs();
  const reachable = allocators.filter(({ isUp }) => isUp)[
    random() < 0.5 ? 0 : allocators.filter(({ isUp }) => isUp).length - 1
  ];
  const message: Message = { kind: "retry-ask", life: node.incarnation, wants: demands };
  timeline.after(random() * 100_000, () => {
    const reply = reachable?.allocator.handleRequest(message);
    if (!reply || random() < 0.1) return;
    const waitUs = random() < 0.1 ? 450_000 : 50_000 * random();
    timeline.after(waitUs, () => {
      if (timeline.nowUs() < node.partitionedUntilUs) return;
      readList(reply, "rows", (value) => {
        const [service, kind, tokens] = asList(value);
        const known = KINDS.find((one) => one === asString(kind));
        assert.ok(known);
        node.budgets.budgetFor(asString(service), known).setLease({
          tokens: asNumber(tokens) * (isLeaseDoubled ? 2 : 1),
          expiresUs: requestedUs + RETRY_LEASE_US,
        });
      });
    });
  });
};

const slowdown = (seconds: number): void => {
  const untilUs = timeline.nowUs() + seconds * 1_000_000;
  for (let step = 0; timeline.nowUs() < untilUs; step += 1) {
    // Every 0.2 s each node sends one request of each kind, and every 0.8 s it renews its leases.
    nodes.forEach((node, at) => {
      KINDS.forEach((kind) => request(node, kind, random() < 0.8));
      if ((step + at) % 4 === 0) renew(node);
    });
    timeline.runUntil(timeline.nowUs() + 200_000);
  }
};

const injectFailures = (): void => {
  const pick = (): number => Math.floor(random() * nodes.length);
  timeline.every(3_000_000, () => {
    const at = pick();
    nodes[at] = startNode(nodes[at]?.name ?? "");
  });
  timeline.every(5_000_000, () => {
    const node = nodes[pick()];
    if (node) node.partitionedUntilUs = timeline.nowUs() + 6_000_000;
  });
  // The leader is partitioned, and grants leases for one more second until its connections time
  // out. The next leader takes over 1.5 s after the partition began.
  timeline.every(40_000_000, () => {
    const last = allocators[allocators.length - 1];
    timeline.after(1_000_000, () => {
      if (last) last.isUp = false;
    });
    timeline.after(1_500_000, startAllocator);
  });
};

When(
  "a slowdown of {int} seconds makes the nodes attempt a retry of most requests while all kinds of failures are injected, with seed {int}",
  (seconds: number, seed: number) => {
    random = seeded(seed);
    injectFailures();
    slowdown(seconds);
  },
);
let loweredUs = 0;
let oldLimits: RetryLimits = {};
When(
  "after {int} seconds of a slowdown the slack is lowered to {int}",
  (seconds: number, slack: number) => {
    slowdown(seconds);
    loweredUs = timeline.nowUs();
    oldLimits = limits;
    limits = defaultLimits({ ratio: 0.02, slack, windowUs: WINDOW_US });
    slowdown(60);
  },
);

/** Maximum excess over the limit, in all windows that start with a retry. */
const worstExcess = (limitsAt: (fromUs: number) => RetryLimits): number => {
  let worst = -Infinity;
  KINDS.forEach((kind) => {
    const [requestTimes, retryTimes] = [requests, retries].map((events) =>
      events.filter((event) => event.kind === kind).map(({ atUs }) => atUs),
    );
    if (!requestTimes || !retryTimes) return;
    let [requestsFrom, requestsTo, to] = [0, 0, 0];
    retryTimes.forEach((fromUs, from) => {
      while ((retryTimes[to] ?? Infinity) < fromUs + WINDOW_US) to += 1;
      while ((requestTimes[requestsFrom] ?? Infinity) < fromUs) requestsFrom += 1;
      while ((requestTimes[requestsTo] ?? Infinity) < fromUs + WINDOW_US) requestsTo += 1;
      const { ratio, slack } = findLimit(limitsAt(fromUs), "s", kind);
      worst = Math.max(worst, to - from - (ratio * (requestsTo - requestsFrom) + slack));
    });
  });
  return worst;
};
Then(
  "in no window do the retries of a kind exceed its ratio times its requests plus its slack",
  () => {
    const worst = worstExcess(() => limits);
    assert.ok(worst <= 0, `limit exceeded by ${worst}`);
  },
);
Then(
  "in some window the retries of a kind exceed its ratio times its requests plus its slack",
  () => assert.ok(worstExcess(() => limits) > 0),
);
Then(
  "no window that starts {int} seconds later or more exceeds the lowered limit, and no earlier one the previous limit",
  (seconds: number) => {
    assert.ok(
      worstExcess((fromUs) => (fromUs < loweredUs + seconds * 1_000_000 ? oldLimits : limits)) <= 0,
    );
  },
);
Then("more than {int} retries were made", (count: number) =>
  assert.ok(retries.length > count, `${retries.length}`),
);
Then("at least {int} retries were made under leases", (count: number) =>
  assert.ok(retriesUnderLease >= count, `${retriesUnderLease} of ${retries.length}`),
);
Then("it is allowed no retry", () =>
  assert.equal(nodes[0]?.budgets.budgetFor("s", "safe").trySpend(), false),
);

let currentAllocator: RetryAllocator;
const requestLease = (incarnation: string, wanted: number, held: number): number => {
  const reply = currentAllocator.handleRequest({
    kind: "retry-ask",
    life: incarnation,
    wants: [["s", "safe", wanted, held]],
  });
  const [row] = readList(reply, "rows", (value) => asList(value));
  return asNumber(row?.[2]);
};
Given(
  "a leader that has leased {int} tokens of {int} to a node",
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
    startAllocator();
    const first = allocators[allocators.length - 1];
    assert.ok(first);
    currentAllocator = first.allocator;
    timeline.runUntil(timeline.nowUs() + 14_000_000);
    assert.equal(requestLease("one", tokens, 0), tokens);
  },
);
When("another controller takes over the allocation of leases", () => {
  startAllocator();
  const next = allocators[allocators.length - 1];
  assert.ok(next);
  currentAllocator = next.allocator;
});
Then(
  "the node's {int} tokens are renewed, and no other node gets any for {int} seconds",
  (tokens: number, seconds: number) => {
    for (let second = 0; second < seconds; second += 1) {
      assert.deepEqual(
        [requestLease("one", tokens, tokens), requestLease("two", 10, 0)],
        [tokens, 0],
      );
      timeline.runUntil(timeline.nowUs() + 999_000);
    }
  },
);
Then("after that another node gets tokens", () => {
  timeline.runUntil(timeline.nowUs() + 100_000);
  assert.equal(requestLease("two", 10, 0), 10);
});

const clock = new ManualClock();
let leaseRequestCount = 0;
let budgets: RetryBudgets;
Given("a node with a renewer of retry leases", () => {
  leaseRequestCount = 0;
  limits = defaultLimits({ ratio: 0.2, slack: 100, windowUs: WINDOW_US });
  budgets = new RetryBudgets({
    clock,
    log: silentLogger,
    windowUs: WINDOW_US,
    limits: () => limits,
  });
  const renewer = new RetryLeaseRenewer(clock, budgets, "life", async () => {
    leaseRequestCount += 1;
    return { kind: "retries", rows: [["s", "safe", 5]], lastsUs: RETRY_LEASE_US };
  });
  renewer.start();
});
When(
  "it makes {int} requests and {int} retries",
  async (requestCount: number, retryCount: number) => {
    const budget = budgets.budgetFor("s", "safe");
    for (let at = 0; at < requestCount; at += 1) budget.recordRequest();
    for (let at = 0; at < retryCount; at += 1) assert.ok(budget.trySpend());
    await clock.pass(20_000_000);
  },
);
Then("no lease was requested from the leader", () => assert.equal(leaseRequestCount, 0));
When("a retry is rejected", () => assert.equal(budgets.budgetFor("s", "safe").trySpend(), false));
Then(
  "it requests a lease from the leader within a second, uses it, and stops requesting when it needs none",
  async () => {
    await clock.pass(1_000_000);
    await settle();
    assert.ok(leaseRequestCount > 0);
    assert.equal(budgets.budgetFor("s", "safe").leasedTokens(), 5);
    assert.ok(budgets.budgetFor("s", "safe").trySpend());
    await clock.pass(20_000_000);
    const countBefore = leaseRequestCount;
    await clock.pass(20_000_000);
    assert.equal(leaseRequestCount, countBefore);
  },
);

let result = "";
When(
  "the limit of {word} is set to a ratio of {float} and a slack of {int}, with a deployment maximum of {float} and {int}",
  (kind: string, ratio: number, slack: number, mostRatio: number, mostSlack: number) => {
    const ceiling = { ratio: mostRatio, slack: mostSlack, windowUs: WINDOW_US };
    const changed = withLimit(defaultLimits(ceiling), ceiling, EVERY_SERVICE, kind, {
      ratio,
      slack,
    });
    result = changed.isOk ? "" : changed.error;
  },
);
Then("it is accepted", () => assert.equal(result, ""));
Then("it is rejected for {string}", (message: string) =>
  assert.ok(result.includes(message), result),
);
Then(
  "by default the unsafe and keyed kinds have at most half of the ratio and slack of the safe kind, and all slacks together stay within the deployment's",
  () => {
    const kinds = defaultLimits({ ratio: 0.2, slack: 70, windowUs: WINDOW_US })[EVERY_SERVICE];
    assert.ok(kinds);
    [kinds.unsafe, kinds.keyed].forEach((stricter) =>
      assert.ok(stricter.ratio <= kinds.safe.ratio / 2 && stricter.slack <= kinds.safe.slack / 2),
    );
    assert.ok(
      kinds.safe.slack + kinds.unsafe.slack + kinds.keyed.slack + kinds.cached.slack <= 70 + 1e-9,
    );
  },
);
