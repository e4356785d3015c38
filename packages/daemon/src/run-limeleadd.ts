/** Command line of limeleadd. */
import { toLimeleadError } from '@limelead/errors';
import readSettings from '@limelead/read-settings';
import stopOnUncaught from '@limelead/stop-on-uncaught';
import { cac } from 'cac';
import * as E from 'fp-ts/lib/Either.js';
import { onStopRequested } from './early-signals.js';
import startDaemon from './start-daemon.js';

const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILED = 1;
/** Time beside the drain after which a stop behind an uncaught exception ends in any case. */
const STOP_MARGIN_MS = 3_000;

interface LimeleaddOptions {
  settings?: string;
  check?: boolean;
}

/** Parses the arguments of the process, then starts the daemon or checks its settings. */
export default function runLimeleadd(argv: string[]): void {
  const program = cac('limeleadd');
  program
    .command('', 'Run the daemon of one entry VM')
    .option('--settings <file>', 'Settings in JSON with comments')
    .option('--check', 'Check the settings and exit')
    .example('limeleadd --settings limelead.jsonc')
    .example('limeleadd --settings limelead.jsonc --check')
    .action((options: LimeleaddOptions) => run(options));
  program.help();
  program.parse(argv);
}

async function run({ settings: file, check }: LimeleaddOptions): Promise<void> {
  if (file === undefined) {
    exitWith(EXIT_BAD_SETTINGS, 'limeleadd: --settings FILE is required; see --help');
  }
  const settings = readSettings(file);
  if (E.isLeft(settings)) {
    exitWith(EXIT_BAD_SETTINGS, settings.left.message);
  }
  if (check === true) {
    process.stdout.write(`${file}: the settings are valid\n`);
    return;
  }
  try {
    const daemon = await startDaemon(settings.right);
    const { leaveBalancerMs, drainMs } = settings.right.timing;
    onStopRequested(() => void daemon.stop().finally(() => process.exit()));
    stopOnUncaught(daemon, leaveBalancerMs + drainMs + STOP_MARGIN_MS);
  } catch (thrown) {
    exitWith(EXIT_FAILED, `limeleadd: ${toLimeleadError(thrown).message}`);
  }
}

function exitWith(code: number, message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(code);
}
