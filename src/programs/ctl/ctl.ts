import { readFile, writeFile } from "node:fs/promises";
import { request } from "node:http";
import type { Command } from "commander";
import { err, ok, type Result } from "true-myth/result";
import { isRecord, parseJson, type UnknownRecord } from "../../common/decode.js";
import { parseDuration } from "../../common/duration.js";
import type { UsageRow } from "./usage-export.js";

/** Exit codes: 0 done, 1 refused by the system, 2 wrong input, 3 nobody reached. */
export type CommandError = { readonly code: 1 | 2 | 3; readonly sentence: string };

const WAIT_MS = 5_000;

const ask = (
  address: string,
  method: string,
  path: string,
  body: string,
): Promise<Result<UnknownRecord, CommandError>> =>
  new Promise((resolve) => {
    const call = request(
      `http://${address}${path}`,
      {
        method,
        timeout: WAIT_MS,
        headers: { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("error", () => resolve(err({ code: 3, sentence: `${address} broke off` })));
        response.on("end", () => {
          const told = readTold(Buffer.concat(chunks).toString());
          const status = response.statusCode ?? 0;
          if (status === 200) resolve(ok(told));
          else
            resolve(
              err({
                code: status >= 500 ? 3 : 1,
                sentence: `${address} says ${status}: ${zone(told["problem"] ?? "no reason given")}`,
              }),
            );
        });
      },
    );
    call.on("timeout", () => call.destroy());
    call.on("error", () => resolve(err({ code: 3, sentence: `${address} cannot be reached` })));
    call.end(body);
  });

const zone = (value: unknown): string =>
  typeof value === "string" ? value : value === undefined ? "" : JSON.stringify(value);

const readTold = (body: string): UnknownRecord => {
  try {
    const told = parseJson(body);
    return isRecord(told) ? told : {};
  } catch {
    return {};
  }
};

/** Asks one signalbox after the other, until one of them takes the call or refuses it for good. */
const askAny = async (
  controllers: readonly string[],
  method: string,
  path: string,
  body = "",
): Promise<Result<UnknownRecord, CommandError>> => {
  let last: Result<UnknownRecord, CommandError> = err({
    code: 2,
    sentence: "no controller is named; give --controller or set YEWREEL_CONTROLLERS",
  });
  for (const controller of controllers) {
    last = await ask(controller, method, path, body);
    if (last.isOk || last.error.code !== 3) return last;
  }
  return last;
};

/** Rows as a table, with the columns that any of them has. */
const asTable = (rows: readonly UnknownRecord[]): string => {
  if (rows.length === 0) return "none";
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const widths = columns.map((column) =>
    Math.max(column.length, ...rows.map((row) => zone(row[column]).length)),
  );
  const line = (values: readonly string[]) =>
    values
      .map((value, at) => value.padEnd(widths[at] ?? 0))
      .join("  ")
      .trimEnd();
  return [
    line(columns),
    ...rows.map((row) => line(columns.map((column) => zone(row[column])))),
  ].join("\n");
};

const rowsOfTexts = (value: unknown): readonly string[] =>
  Array.isArray(value) ? value.map(zone) : [];

const rowsOf = (value: unknown): readonly UnknownRecord[] => {
  if (Array.isArray(value)) return value.filter(isRecord);
  return isRecord(value) ? Object.entries(value).map(([what, is]) => ({ what, is })) : [];
};

interface Common {
  readonly controller?: readonly string[];
  readonly json?: boolean;
}

const boxesOf = (common: Common): readonly string[] =>
  common.controller ??
  (process.env["YEWREEL_CONTROLLERS"] ?? "").split(",").filter((controller) => controller !== "");

const finish = (
  result: Result<UnknownRecord, CommandError>,
  show: (told: UnknownRecord) => string,
): void => {
  if (result.isOk) {
    process.stdout.write(`${show(result.value)}\n`);
    return;
  }
  process.stderr.write(`ctl: ${result.error.sentence}.\n`);
  process.exitCode = result.error.code;
};

/** A call that the operator's plan file stands for, or a plain sentence on what is wrong with the file. */
const readPlanFile = async (path: string): Promise<Result<string, CommandError>> => {
  try {
    const body = await readFile(path, "utf8");
    const plan = parseJson(body);
    if (!isRecord(plan)) return err({ code: 2, sentence: `${path} holds no JSON table` });
    return ok(
      plan["putItems"] === undefined && plan["remove"] === undefined
        ? JSON.stringify({ putItems: plan, remove: { routes: [] } })
        : body,
    );
  } catch (error) {
    return err({
      code: 2,
      sentence: `${path} cannot be read: ${error instanceof Error ? error.message : "unknown"}`,
    });
  }
};

const exportUsage = async (
  file: string,
  ready: readonly string[],
): Promise<Result<UnknownRecord, CommandError>> => {
  const { readUsageRow, writeUsage } = await import("./usage-export.js");
  const rows: UsageRow[] = [];
  for (const address of ready) {
    const told = await ask(address, "GET", "/tell/counts", "");
    if (told.isErr) return told;
    rows.push(...rowsOf(told.value["counts"]).map((row) => readUsageRow(address, row)));
  }
  try {
    return (await writeUsage(file, rows))
      ? ok({ rows: rows.length })
      : err({ code: 2, sentence: `${file} must end in .csv or .parquet` });
  } catch (error) {
    return err({
      code: 2,
      sentence: `${file} cannot be written: ${error instanceof Error ? error.message : "unknown"}`,
    });
  }
};

const QUERIES: Readonly<Record<string, string>> = {
  nodes: "the pointsmen with a session",
  workers: "the workers, as their beats tell them",
  inspection: "faults by worker, ejections and the shift, with what led to them",
  keys: "operation keys and purges held, and whether this copy counts",
  goods: "what each depot holds, hit, missed, checked and refused",
};

const REACHED_NOBODY = 3;

/** The duty, the roster and the term, and below them every signalbox with why it doesn't count. */
const dutyText = (told: UnknownRecord): string => {
  const {
    holder,
    term,
    roster: voterSet,
    boxes: controllers,
  } = isRecord(told["duty"]) ? told["duty"] : told;
  const { number, is, members, from } = isRecord(voterSet) ? voterSet : {};
  const leaving = rowsOfTexts(from).filter((id) => !rowsOfTexts(members).includes(id));
  return [
    asTable([
      {
        holder,
        term,
        roster: number,
        is,
        members: rowsOfTexts(members).join(" "),
        ...(leaving.length > 0 ? { leaving: leaving.join(" ") } : {}),
      },
    ]),
    "",
    asTable(rowsOf(controllers)),
  ].join("\n");
};

/** What each named signalbox knows by itself; one that is cut off tells too, and its word is its own. */
const showCopies = async (options: Common): Promise<void> => {
  const controllers = boxesOf(options);
  const rows = await Promise.all(
    controllers.map(async (controller): Promise<UnknownRecord> => {
      const told = await ask(controller, "GET", "/tell/copy", "");
      if (told.isErr) return { box: controller, view: told.error.sentence };
      const copy = isRecord(told.value["copy"]) ? told.value["copy"] : {};
      return Object.fromEntries(
        Object.entries(copy).map(([name, value]) => [
          name,
          Array.isArray(value) ? value.join(" ") : value,
        ]),
      );
    }),
  );
  const reached = rows.some((row) => row["counting"] !== undefined);
  process.stdout.write(
    `${options.json === true ? JSON.stringify(rows, undefined, 2) : asTable(rows)}\n`,
  );
  if (!reached) process.exitCode = controllers.length === 0 ? 2 : REACHED_NOBODY;
};

/** A span such as 90s, or a moment of the calendar, which is turned into the span until then. */
const spanUntil = (when: string): Result<string, CommandError> => {
  if (parseDuration(when).isOk) return ok(when);
  const leftMs = Date.parse(when) - Date.now();
  return leftMs > 0
    ? ok(`${leftMs}ms`)
    : err({ code: 2, sentence: `${when} is neither a span such as 90s nor a moment to come` });
};

const numberIn = (given: string): number | undefined => {
  const value = Number(given);
  return given.trim() !== "" && Number.isFinite(value) && value >= 0 ? value : undefined;
};

interface BackendsCall extends Common {
  readonly add?: readonly string[];
  readonly retire?: readonly string[];
  readonly byRoute?: boolean;
  readonly byNode?: boolean;
  readonly keep?: string;
  readonly check?: string;
}

const readAdded = (given: string): UnknownRecord | undefined => {
  const parts = /^([^@]+)@([^*]+)(?:\*(\d+))?$/.exec(given);
  return parts ? { service: parts[1], cell: parts[2], count: Number(parts[3] ?? 1) } : undefined;
};

const keepFile = async (
  path: string,
  moves: UnknownRecord,
): Promise<Result<UnknownRecord, CommandError>> => {
  try {
    await writeFile(path, JSON.stringify(moves));
    return ok({});
  } catch (error) {
    return err({
      code: 2,
      sentence: `${path} cannot be written: ${error instanceof Error ? error.message : "unknown"}`,
    });
  }
};

const percent = (value: unknown): string =>
  typeof value === "number" ? `${(value * 100).toFixed(1)}%` : "";
const rounded = (value: unknown): unknown =>
  typeof value === "number" ? Math.round(value * 100) / 100 : value;

/** A forecast as rows for people: shares in percent, cells in one column. */
const forecastText = (moves: UnknownRecord, byNode: boolean): string => {
  const line = ({
    node,
    service,
    kind,
    route,
    calls,
    perS,
    moved,
    low,
    high,
    toCells,
    newConnections,
  }: UnknownRecord): UnknownRecord => ({
    ...(node === undefined ? {} : { node }),
    service,
    kind,
    ...(route === undefined || route === "" ? {} : { route }),
    calls,
    perS: rounded(perS),
    moved: percent(moved),
    between: `${percent(low)} and ${percent(high)}`,
    goesTo: isRecord(toCells)
      ? Object.entries(toCells)
          .map(([to, share]) => `${to} ${percent(share)}`)
          .join(", ")
      : "",
    newConnections: rounded(newConnections),
  });
  const loaded = rowsOf(moves["loaded"]).map((row) =>
    Object.fromEntries(Object.entries(row).map(([name, value]) => [name, rounded(value)])),
  );
  return [
    asTable(rowsOf(moves["fleet"]).map(line)),
    ...(byNode ? ["", asTable(rowsOf(moves["nodes"]).map(line))] : []),
    ...(loaded.length > 0
      ? ["", "Workers whose slots would be in use beyond four fifths:", asTable(loaded)]
      : []),
    ...rowsOfTexts(moves["warnings"]).map((warning) => `Warning: ${warning}.`),
  ].join("\n");
};

const checkBackends = async (options: BackendsCall, file: string): Promise<void> => {
  const { checkForecast, countsOf, readKept } = await import("./forecast-check.js");
  let kept: UnknownRecord | string;
  try {
    kept = readKept(parseJson(await readFile(file, "utf8")));
  } catch {
    kept = `${file} cannot be read`;
  }
  if (typeof kept === "string") return finish(err({ code: 2, sentence: kept }), String);
  const services = [...new Set(rowsOf(kept["subsets"]).map((row) => zone(row["service"])))];
  const told = await askAny(
    boxesOf(options),
    "POST",
    "/backends/seen",
    JSON.stringify({ services }),
  );
  const rows = told.isOk ? checkForecast(kept, rowsOf(told.value["seen"])) : [];
  const shown = rows.map((row) => ({
    ...row,
    forecastJoin: percent(row.forecastJoin),
    low: percent(row["low"]),
    high: percent(row["high"]),
    seenJoin: percent(row.seenJoin),
    seenLeave: percent(row.seenLeave),
  }));
  finish(told, () =>
    options.json === true
      ? JSON.stringify(rows, undefined, 2)
      : `${asTable(shown)}\n${Object.entries(countsOf(rows))
          .map(([what, count]) => `${count} ${what}`)
          .join(", ")}`,
  );
};

/** The operator's command line. Queries take --json; commands answer with one line. */
export const addCtlCommands = (cli: Command): void => {
  const station = cli
    .command("ctl")
    .description("the operator's command line: talks to any signalbox");
  const common = (command: Command): Command =>
    command.option(
      "-c, --controller <address...>",
      "signalboxes to ask, as ip:port (or YEWREEL_CONTROLLERS, comma-separated)",
    );
  const query = (command: Command): Command => common(command).option("--json", "print JSON");
  const show = (options: Common, field: string) => (told: UnknownRecord) =>
    options.json === true
      ? JSON.stringify(told[field] ?? told, undefined, 2)
      : asTable(rowsOf(told[field] ?? told));

  common(
    station
      .command("apply <file>")
      .description("apply a plan file: the operator's call, or the items it would put"),
  ).action(async (file: string, options: Common) => {
    const body = await readPlanFile(file);
    if (body.isErr) return finish(err(body.error), String);
    finish(await askAny(boxesOf(options), "POST", "/plan/change", body.value), () => "Taken.");
  });
  common(station.command("read").description("print the plan that stands, as JSON")).action(
    async (options: Common) => {
      finish(await askAny(boxesOf(options), "GET", "/plan/read"), (told) =>
        JSON.stringify(told, undefined, 2),
      );
    },
  );
  Object.entries(QUERIES).forEach(([name, description]) => {
    query(station.command(name).description(description)).action(async (options: Common) => {
      finish(await askAny(boxesOf(options), "GET", `/tell/${name}`), show(options, name));
    });
  });
  query(
    station
      .command("duty")
      .description(
        "who holds the duty, its term, the roster, and each signalbox with why it doesn't count",
      ),
  ).action(async (options: Common) => {
    finish(await askAny(boxesOf(options), "GET", "/tell/duty"), (told) =>
      options.json === true ? JSON.stringify(told["duty"], undefined, 2) : dutyText(told),
    );
  });
  query(
    station
      .command("copies")
      .description("what each named signalbox knows by itself, also one that is cut off"),
  ).action(showCopies);
  const shift = (command: Command, why: string, done: string) =>
    common(command).action(async (cellName: string, options: Common) => {
      finish(
        await askAny(
          boxesOf(options),
          "POST",
          "/cells/shift",
          JSON.stringify({ cell: cellName, why }),
        ),
        () => done,
      );
    });
  shift(
    station.command("shift <cell>").description("shift traffic away from a cell, by hand"),
    "by hand",
    "Shifted.",
  );
  shift(
    station.command("practise <cell>").description("start a practice shift"),
    "practice",
    "Practice begun.",
  );
  common(station.command("unshift").description("end the shift")).action(
    async (options: Common) => {
      finish(
        await askAny(boxesOf(options), "POST", "/cells/shift", JSON.stringify({ cell: "" })),
        () => "Shifted back.",
      );
    },
  );

  station
    .command("usage <file> <ready...>")
    .description(
      "export usage from pointsmen's ready addresses (ip:port) to FILE.csv or FILE.parquet",
    )
    .action(async (file: string, ready: string[]) =>
      finish(await exportUsage(file, ready), ({ rows }) => `Wrote ${zone(rows)} rows.`),
    );

  const rollout = station
    .command("rollout")
    .description("the comparison of route versions that split their traffic");
  const rolloutRows = (told: UnknownRecord): readonly UnknownRecord[] =>
    isRecord(told["rollouts"]) ? rowsOf(told["rollouts"]["rollouts"]) : [];
  query(rollout.command("list").description("every candidate with its verdict")).action(
    async (options: Common) => {
      const brief = (told: UnknownRecord) =>
        rolloutRows(told).map(
          ({ route, version, candidate, baseline, verdict: result, afterMs, reason }) => ({
            route,
            version,
            candidate,
            baseline,
            verdict: result,
            afterMs,
            reason,
          }),
        );
      finish(await askAny(boxesOf(options), "GET", "/tell/rollouts"), (told) =>
        options.json === true
          ? JSON.stringify(rolloutRows(told), undefined, 2)
          : asTable(brief(told)),
      );
    },
  );
  query(
    rollout
      .command("show <route>")
      .description("counts, difference, bounds and reason of one route"),
  ).action(async (route: string, options: Common) => {
    const told = await askAny(boxesOf(options), "GET", "/tell/rollouts");
    const rows = told.isOk ? rolloutRows(told.value).filter((row) => row["route"] === route) : [];
    if (told.isOk && rows.length === 0)
      return finish(
        err({ code: 1, sentence: `${route} is no route that splits its traffic` }),
        String,
      );
    finish(told, () =>
      options.json === true
        ? JSON.stringify(rows, undefined, 2)
        : rows.map((row) => asTable(rowsOf(row))).join("\n\n"),
    );
  });
  common(
    rollout
      .command("clear <route>")
      .description("lift a stop; the comparison begins anew")
      .option("--version-in-force <number>", "only if this version is in force"),
  ).action(async (route: string, options: Common & { readonly versionInForce?: string }) => {
    const version =
      options.versionInForce === undefined ? undefined : Number(options.versionInForce);
    if (version !== undefined && !Number.isSafeInteger(version))
      return finish(err({ code: 2, sentence: "the version must be a whole number" }), String);
    finish(
      await askAny(
        boxesOf(options),
        "POST",
        `/rollouts/${encodeURIComponent(route)}/clear`,
        JSON.stringify(version === undefined ? {} : { version }),
      ),
      () => "Cleared.",
    );
  });

  common(
    station
      .command("purge")
      .description("end the copies of one object, or of all that carry a label")
      .option("--host <host>", "the object's host")
      .option("--path <path>", "the object's path")
      .option("--label <label>", "a label"),
  ).action(
    async (
      options: Common & { readonly host?: string; readonly path?: string; readonly label?: string },
    ) => {
      const { host, path, label } = options;
      const isOne =
        label === undefined
          ? host !== undefined && path !== undefined
          : host === undefined && path === undefined;
      if (!isOne)
        return finish(
          err({ code: 2, sentence: "give --host and --path, or --label alone" }),
          String,
        );
      finish(
        await askAny(
          boxesOf(options),
          "POST",
          "/purge",
          JSON.stringify(label === undefined ? { host, path } : { label }),
        ),
        () => "Purged.",
      );
    },
  );

  query(
    station
      .command("forecast [service]")
      .description("how near each service is to what it can keep up with"),
  ).action(async (service: string | undefined, options: Common) => {
    const told = await askAny(boxesOf(options), "GET", "/tell/forecast");
    const rowsAll =
      told.isOk && isRecord(told.value["forecast"])
        ? rowsOf(told.value["forecast"]["services"])
        : [];
    const rows = rowsAll.filter((row) => service === undefined || row["service"] === service);
    if (told.isOk && service !== undefined && rows.length === 0)
      return finish(err({ code: 1, sentence: `nothing is known of a service ${service}` }), String);
    finish(told, () =>
      options.json === true ? JSON.stringify(rows, undefined, 2) : asTable(rows),
    );
  });

  const retries = station
    .command("retries")
    .description("the fleet's written limit on retries, by kind of call");
  query(
    retries
      .command("show")
      .description("limit, spent, refused and left, by service and kind over all nodes"),
  ).action(async (options: Common) => {
    finish(await askAny(boxesOf(options), "GET", "/tell/retries"), show(options, "retries"));
  });
  common(
    retries
      .command("set <kind>")
      .description(
        "write the limit of one kind (safe, unsafe, keyed, cached): in any window at most ratio x requests + slack",
      )
      .requiredOption("--ratio <number>", "retries for each request, such as 0.1")
      .requiredOption("--slack <number>", "retries beyond that in a window, over all nodes")
      .option("--service <name>", "for this service alone", "*"),
  ).action(
    async (
      kind: string,
      options: Common & {
        readonly ratio: string;
        readonly slack: string;
        readonly service: string;
      },
    ) => {
      const [ratio, slack] = [numberIn(options.ratio), numberIn(options.slack)];
      if (ratio === undefined || slack === undefined)
        return finish(
          err({ code: 2, sentence: "--ratio and --slack must be numbers of 0 or more" }),
          String,
        );
      finish(
        await askAny(
          boxesOf(options),
          "POST",
          "/retries",
          JSON.stringify({ service: options.service, kind, ratio, slack }),
        ),
        () => "Written.",
      );
    },
  );

  const backends = station
    .command("backends")
    .description("what adding or retiring backends would do");
  query(
    backends
      .command("forecast")
      .description(
        "which share of each node's calls would move elsewhere; nothing is changed by asking",
      )
      .option("--add <service@cell[*n]...>", "backends to add")
      .option("--retire <worker...>", "workers to retire")
      .option("--by-route", "a row for each route")
      .option("--by-node", "print the rows of each node too")
      .option("--keep <file>", "keep the forecast in a file, for --check")
      .option(
        "--check <file>",
        "set a kept forecast beside what the nodes have seen since, a minute after the change",
      ),
  ).action(async (options: BackendsCall) => {
    if (options.check !== undefined) return checkBackends(options, options.check);
    const add = (options.add ?? []).map(readAdded);
    const bad = add.findIndex((one) => one === undefined);
    if (bad >= 0)
      return finish(
        err({
          code: 2,
          sentence: `${zone(options.add?.[bad])} is not SERVICE@CELL or SERVICE@CELL*N`,
        }),
        String,
      );
    const told = await askAny(
      boxesOf(options),
      "POST",
      "/backends/forecast",
      JSON.stringify({ add, retire: options.retire ?? [], byRoute: options.byRoute === true }),
    );
    const moves = told.isOk && isRecord(told.value["moves"]) ? told.value["moves"] : {};
    if (told.isOk && options.keep !== undefined) {
      const kept = await keepFile(options.keep, moves);
      if (kept.isErr) return finish(kept, String);
    }
    finish(told, () =>
      options.json === true
        ? JSON.stringify(moves, undefined, 2)
        : forecastText(moves, options.byNode === true),
    );
  });

  const window = station.command("window").description("planned maintenance windows of cells");
  const windowRows = (told: UnknownRecord): readonly UnknownRecord[] =>
    isRecord(told["windows"]) ? rowsOf(told["windows"]["windows"]) : [];
  common(
    window
      .command("add <cell>")
      .description("plan a window; its requests move to the other cells before it opens")
      .requiredOption(
        "--opens <when>",
        "a span from now such as 600s, or a moment such as 2027-01-31T02:00Z",
      )
      .requiredOption("--lasts <span>", "how long it lasts, such as 1800s"),
  ).action(
    async (
      cellName: string,
      options: Common & { readonly opens: string; readonly lasts: string },
    ) => {
      const opens = spanUntil(options.opens);
      if (opens.isErr) return finish(err(opens.error), String);
      if (parseDuration(options.lasts).isErr)
        return finish(err({ code: 2, sentence: "--lasts must be a span such as 1800s" }), String);
      finish(
        await askAny(
          boxesOf(options),
          "POST",
          "/windows",
          JSON.stringify({ cell: cellName, opens: opens.value, lasts: options.lasts }),
        ),
        (told) =>
          [
            `Window ${zone(told["id"])} is planned.`,
            ...rowsOfTexts(told["warnings"]).map((warning) => `Warning: ${warning}`),
          ].join("\n"),
      );
    },
  );
  query(window.command("list").description("every window with its stage")).action(
    async (options: Common) => {
      finish(await askAny(boxesOf(options), "GET", "/tell/windows"), (told) =>
        options.json === true
          ? JSON.stringify(windowRows(told), undefined, 2)
          : asTable(windowRows(told)),
      );
    },
  );
  query(window.command("show <id>").description("one window")).action(
    async (id: string, options: Common) => {
      const told = await askAny(boxesOf(options), "GET", "/tell/windows");
      const rows = told.isOk ? windowRows(told.value).filter((row) => row["id"] === id) : [];
      if (told.isOk && rows.length === 0)
        return finish(err({ code: 1, sentence: `there is no window ${id}` }), String);
      finish(told, () =>
        options.json === true ? JSON.stringify(rows[0], undefined, 2) : asTable(rowsOf(rows[0])),
      );
    },
  );
  common(
    window.command("cancel <id>").description("call a window off; what has moved returns"),
  ).action(async (id: string, options: Common) => {
    finish(
      await askAny(boxesOf(options), "POST", `/windows/${encodeURIComponent(id)}/cancel`),
      () => "Cancelled.",
    );
  });
  common(
    window
      .command("extend <id>")
      .description("make a window longer")
      .requiredOption("--by <span>", "by how much, such as 600s"),
  ).action(async (id: string, options: Common & { readonly by: string }) => {
    if (parseDuration(options.by).isErr)
      return finish(err({ code: 2, sentence: "--by must be a span such as 600s" }), String);
    finish(
      await askAny(
        boxesOf(options),
        "POST",
        `/windows/${encodeURIComponent(id)}/extend`,
        JSON.stringify({ by: options.by }),
      ),
      () => "Extended.",
    );
  });
};
