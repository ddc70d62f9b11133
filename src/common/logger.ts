/**
 * Structured logging. Every line is one JSON object with the component that wrote it, a constant
 * message that can be searched for, and the values as fields of their own (`peer`, `term`,
 * `version`, `zone`, ...).
 */
import { destination, pino, type Logger as PinoLogger } from "pino";

/**
 * The values of one log line, by name. An `error` given under `err` is written with its message and
 * cause.
 */
export type LogFields = Readonly<Record<string, unknown>>;

/**
 * What a component logs with. The message is constant text; whatever varies goes into the fields.
 */
export interface Logger {
  readonly info: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly debug: (message: string, fields?: LogFields) => void;
}

const root: PinoLogger = pino(
  { base: null, timestamp: false, level: "info" },
  destination({ fd: 1, sync: true }),
);

/** Sets the lowest level that is written: `debug`, `info`, `warn` or `silent`. */
export const setLogLevel = (level: string): void => {
  root.level = level;
};

/**
 * A logger for one component of a program.
 *
 * @param component - written as the field `component` of every line
 */
export const loggerFor = (component: string): Logger => ({
  info: (message, fields = {}) => root.info({ component, ...fields }, message),
  warn: (message, fields = {}) => root.warn({ component, ...fields }, message),
  debug: (message, fields = {}) => root.debug({ component, ...fields }, message),
});

/** A logger that writes nothing, for tests. */
export const silentLogger: Logger = {
  info: () => undefined,
  warn: () => undefined,
  debug: () => undefined,
};
