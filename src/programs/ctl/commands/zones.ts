/** `shift`, `practise`, `unshift` and `evacuate`: zones that get less or no traffic. */
import type { Command } from "commander";
import {
  clientFor,
  commandAction,
  print,
  withControllerOptions,
  type ControllerOptions,
} from "../command-line.js";

const addShiftCommand = (
  ctl: Command,
  command: { name: string; description: string; why: string; done: string },
): void => {
  withControllerOptions(
    ctl.command(`${command.name} <zone>`).description(command.description),
  ).action(
    commandAction(async (zone: string, options: ControllerOptions) => {
      await clientFor(options).post("/cells/shift", { cell: zone, why: command.why });
      print(command.done);
    }),
  );
};

interface EvacuateOptions extends ControllerOptions {
  readonly end?: boolean;
}

const addEvacuateCommand = (ctl: Command): void => {
  withControllerOptions(
    ctl
      .command("evacuate <zone>")
      .summary("send nothing to a zone's workers, until the end is ordered")
      .description(
        "Send nothing more to the workers of a zone. With --end, take it back: the workers then get only what they can take while they may be cold.",
      )
      .option("--end", "end the evacuation"),
  ).action(
    commandAction(async (zone: string, options: EvacuateOptions) => {
      const order = options.end === true ? "end" : "start";
      await clientFor(options).post(`/evacuate/${encodeURIComponent(zone)}/${order}`);
      print(options.end === true ? "Evacuation ended." : "Evacuated.");
    }),
  );
};

/** Adds the commands to `ctl`. */
export const addZoneCommands = (ctl: Command): void => {
  addShiftCommand(ctl, {
    name: "shift",
    description: "shift traffic away from a zone",
    why: "by hand",
    done: "Shifted.",
  });
  addShiftCommand(ctl, {
    name: "practise",
    description: "start a practice shift away from a zone",
    why: "practice",
    done: "Practice begun.",
  });
  withControllerOptions(ctl.command("unshift").description("end the zonal shift")).action(
    commandAction(async (options: ControllerOptions) => {
      await clientFor(options).post("/cells/shift", { cell: "" });
      print("Shifted back.");
    }),
  );
  addEvacuateCommand(ctl);
};
