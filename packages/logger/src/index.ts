/** Structured logger. Log only changes of state; count everything else in metrics. */
import winston from 'winston';

/** Writes log lines, each for one change of state. */
export interface Logger {
  info(message: string, fields?: object): void;
  warn(message: string, fields?: object): void;
  error(message: string, fields?: object): void;
}

/** The least severe level that is written; `silent` writes nothing. */
export type LogLevel = 'silent' | 'error' | 'warn' | 'info';

/** Creates a logger that writes JSON lines with the VM's name to standard error. */
export default function createLogger(vm: string, level: LogLevel): Logger {
  return winston.createLogger({
    level: level === 'silent' ? 'error' : level,
    silent: level === 'silent',
    defaultMeta: { vm },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info'] })],
  });
}
