/** Deduplicates the log lines of a periodic loop. */
import type { LogFields, Logger } from "../common/logger.js";

/** Logs a line only if it differs from the previous one. */
export class ChangeLogger {
  private last = "";

  constructor(private readonly log: Logger) {}

  /** Logs at level info, unless message and fields equal those of the previous call. */
  readonly info = (message: string, fields: LogFields): void => {
    const line = `${message} ${JSON.stringify(fields)}`;
    if (line !== this.last) this.log.info(message, fields);
    this.last = line;
  };
}
