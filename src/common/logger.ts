/**
 * Structured logging. Every line is a JSON object with the component that wrote it, a constant
 * message that can be searched for, and the variable values as separate fields (`peer`, `term`,
 * `version`, `zone`, ...).
 */
import { destination, pino, type Logger as PinoLogger } from "pino";

/**
 * Fields of a log line, by name. An `Error` passed as `err` is serialized with its message and
 * cause.
 */
export type LogFields = Readonly<Record<string, unknown>>;

/** Logger of a component. The message is constant text; variable values go into the fields. */
export interface Logger {
  readonly info: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly debug: (message: string, fields?: LogFields) => void;
}

const root: PinoLogger = pino(
  { base: null, timestamp: false, level: "info" },
  destination({ fd: 1, sync: true }),
);

/** Sets the minimum level: `debug`, `info`, `warn` or `silent`. */
export const setLogLevel = (level: string): void => {
  root.level = level;
};

/**
 * Creates a logger for one component of a program.
 *
 * @param component - the field `component` of every line
 */
export const loggerFor = (component: string): Logger => ({
  info: (message, fields = {}) => root.info({ component, ...fields }, message),
  warn: (message, fields = {}) => root.warn({ component, ...fields }, message),
  debug: (message, fields = {}) => root.debug({ component, ...fields }, message),
});

/** A logger that discards everything, for tests. */
export const silentLogger: Logger = {
  info: () => undefined,
  warn: () => undefined,
  debug: () => undefined,
};
