/**
 * `yewreel ctl`: the operator's command line. It calls any controller over HTTP. Queries take
 * `--json`; other commands print one line. Exit codes are in `exit-codes.ts`.
 */
import type { Command } from "commander";
import { addBackendCommands } from "./commands/backends.js";
import { addConfigurationCommands } from "./commands/configuration.js";
import { addForecastCommand } from "./commands/forecast.js";
import { addLeadershipCommands } from "./commands/leadership.js";
import { addPurgeCommand } from "./commands/purge.js";
import { addQueryCommands } from "./commands/queries.js";
import { addRetryCommands } from "./commands/retries.js";
import { addRolloutCommands } from "./commands/rollout.js";
import { addUsageCommand } from "./commands/usage.js";
import { addWindowCommands } from "./commands/windows.js";
import { addZoneCommands } from "./commands/zones.js";
import { EXIT_SUCCESS, EXIT_INVALID_INPUT, EXIT_REJECTED, EXIT_UNREACHABLE } from "./exit-codes.js";

const HELP_AFTER = `
Environment:
  YEWREEL_CONTROLLERS  controllers to call, as ip:port, comma-separated

Exit codes:
  ${EXIT_SUCCESS}  done
  ${EXIT_REJECTED}  rejected by the controllers, or not found
  ${EXIT_INVALID_INPUT}  invalid command line or file
  ${EXIT_UNREACHABLE}  no controller answered, or none has a quorum

Examples:
  yewreel ctl workers --controller 10.1.0.34:8544 10.2.0.34:8544
  yewreel ctl apply configuration.json
  yewreel ctl window add zone-b --opens 600s --lasts 1800s`;

/** Adds `ctl` with all its commands to the program. */
export const addCtlCommands = (program: Command): void => {
  const ctl = program
    .command("ctl")
    .summary("operate a running system")
    .description("Operate a running system. Every command may be sent to any controller.")
    .addHelpText("after", HELP_AFTER);
  ctl.commandsGroup("Configuration:");
  addConfigurationCommands(ctl);
  addRetryCommands(ctl);
  ctl.commandsGroup("State:");
  addQueryCommands(ctl);
  addLeadershipCommands(ctl);
  addForecastCommand(ctl);
  addUsageCommand(ctl);
  ctl.commandsGroup("Traffic and maintenance:");
  addZoneCommands(ctl);
  addWindowCommands(ctl);
  addRolloutCommands(ctl);
  addBackendCommands(ctl);
  addPurgeCommand(ctl);
};
