import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { Command } from "commander";
import { asList, asRecord, parseJson, type UnknownRecord } from "../../src/common/decode.js";
import { ControllerClient } from "../../src/programs/ctl/controller-client.js";
import { addCtlCommands } from "../../src/programs/ctl/ctl.js";
import { CommandError } from "../../src/programs/ctl/errors.js";
import { formatTable } from "../../src/programs/ctl/table.js";

interface Received {
  readonly controller: number;
  readonly method: string;
  readonly url: string;
  readonly body: string;
}

let servers: Server[] = [];
let addresses: string[] = [];
let received: Received[] = [];
let outcome: UnknownRecord | Error = {};

After(() => {
  servers.forEach((server) => server.close());
  servers = [];
});

const listen = (server: Server): Promise<number> =>
  new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      resolve(typeof address === "object" && address ? address.port : 0);
    });
  });

/**
 * Starts a controller that answers every request with the status, or is unreachable ("nothing").
 * A redirect points to the next controller, that of the last one to the first.
 */
const startController = async (controller: number, answer: string): Promise<string> => {
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      const { method = "", url = "" } = request;
      received.push({ controller, method, url, body: Buffer.concat(chunks).toString() });
      response.statusCode = Number(answer);
      if (answer === "307")
        response.setHeader(
          "Location",
          `http://${addresses[controller] ?? addresses[0] ?? ""}${url}`,
        );
      response.end(JSON.stringify(answer === "200" ? { controller } : { problem: "no" }));
    });
  });
  const port = await listen(server);
  if (answer === "nothing") server.close();
  else servers.push(server);
  return `127.0.0.1:${port}`;
};

Given("controllers that answer {string}", async (answers: string) => {
  received = [];
  addresses = [];
  for (const answer of answers.split(", ").filter((one) => one !== ""))
    addresses.push(await startController(addresses.length + 1, answer));
});

const recordOutcome = async (call: Promise<UnknownRecord>): Promise<void> => {
  try {
    outcome = await call;
  } catch (error) {
    assert.ok(error instanceof Error);
    outcome = error;
  }
};

When("the nodes are queried", () =>
  recordOutcome(new ControllerClient(addresses).get("/tell/nodes")),
);
When("a change is posted", () =>
  recordOutcome(new ControllerClient(addresses.slice(0, 1)).post("/plan/change", { a: 1 })),
);
When("the command {string} is run", async (line: string) => {
  const program = new Command("yewreel");
  addCtlCommands(program);
  const write = process.stdout.write.bind(process.stdout);
  process.stdout.write = () => true;
  try {
    await program.parseAsync(["ctl", ...line.split(" "), "--controller", ...addresses], {
      from: "user",
    });
  } finally {
    process.stdout.write = write;
  }
});

Then("the answer is that of controller {int}", (controller: number) =>
  assert.deepEqual(outcome, { controller }),
);
Then(
  "it fails with code {string} and exit code {int}, saying {string}",
  (code: string, exitCode: number, sentence: string) => {
    assert.ok(outcome instanceof CommandError);
    assert.deepEqual([outcome.code, outcome.exitCode], [code, exitCode]);
    assert.ok(outcome.message.includes(sentence), outcome.message);
  },
);
Then("controller {int} was called at {string}", (controller: number, path: string) =>
  assert.deepEqual(
    received.map(({ controller: called, method, url }) => ({ called, method, url })),
    [{ called: controller, method: "POST", url: path }],
  ),
);
Then("controller {int} was not called", (controller: number) =>
  assert.ok(received.every((one) => one.controller !== controller)),
);
Then(
  "controller {int} got the same method and body as controller {int}",
  (second: number, first: number) => {
    const calls = [first, second].map((controller) =>
      received
        .filter((one) => one.controller === controller)
        .map(({ method, url, body }) => ({ method, url, body })),
    );
    assert.deepEqual(calls[0], [{ method: "POST", url: "/plan/change", body: '{"a":1}' }]);
    assert.deepEqual(calls[1], calls[0]);
  },
);
Then(
  "the body sent to controller {int} has {string} as {string}",
  (controller: number, field: string, json: string) => {
    const [call] = received.filter((one) => one.controller === controller);
    assert.deepEqual(asRecord(parseJson(call?.body ?? ""))[field], parseJson(json));
  },
);
Then("the rows {string} are printed as", (json: string, text: string) =>
  assert.equal(formatTable(asList(parseJson(json)).map((row) => asRecord(row))), text),
);
