/** `shift`, `practise` and `unshift`: zonal shifts by the operator. */
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
};
