/** The structured logger. Lines are written for changes of state only; everything else is a counter. */
import winston from 'winston';

/** Writes one line for a change of state. */
export interface Logger {
  info(message: string, fields?: object): void;
  warn(message: string, fields?: object): void;
  error(message: string, fields?: object): void;
}

/** How much is written. */
export type LogLevel = 'silent' | 'error' | 'warn' | 'info';

/** Creates a logger that writes JSON lines to standard error. */
export default function createLogger(vm: string, level: LogLevel): Logger {
  return winston.createLogger({
    level: level === 'silent' ? 'error' : level,
    silent: level === 'silent',
    defaultMeta: { vm },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info'] })],
  });
}
