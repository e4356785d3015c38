/** Defines the commands of limelead with their options and examples. */
import { cac, type CAC } from 'cac';
import apply, { type ApplyOptions } from './commands/apply/index.js';
import audit, { type AuditOptions } from './commands/audit/index.js';
import call, { type CallOptions } from './commands/call/index.js';
import demo, { type DemoOptions } from './commands/demo/index.js';
import explain, { type ExplainOptions } from './commands/explain/index.js';
import generate, { type GenerateOptions } from './commands/generate/index.js';
import get from './commands/get/index.js';
import load, { type LoadOptions } from './commands/load/index.js';
import status from './commands/status/index.js';
import watch, { type WatchOptions } from './commands/watch/index.js';
import type { ConnectionOptions } from './connection.js';
import { EXIT_CODES } from './exit-codes.js';
import reportError from './report-error.js';

/** Runs the command that the arguments name and sets the exit code of the process. */
export default async function runLimelead(argv: string[]): Promise<void> {
  const program = cac('limelead');
  defineCallerCommands(program);
  defineOperatorCommands(program);
  program
    .command('demo', 'Inject faults into a cluster in one process and check every answer')
    .option(
      '--fault <name>',
      'none, engine-death, engine-pause, link-cut, vm-death, vm-stop, target-leave, store-outage or all',
    )
    .option('--seed <number>', 'Seed of the requests', { default: 1 })
    .option('--requests <number>', 'Number of requests', { default: 24 })
    .option('--json', 'Write the report as one line of JSON')
    .example('limelead demo')
    .example('limelead demo --fault all --seed 7 --json')
    .action((options: DemoOptions) => finish(demo(options), options));
  program
    .command('load <mix>', 'Send the load that a mix file describes to running VMs')
    .option('--url <urls>', 'Base URLs of VMs, separated by commas (LIMELEAD_URL)')
    .option('--seed <number>', 'Seed of the arrivals', { default: 1 })
    .option('--tries <number>', 'Maximum attempts per request', { default: 10 })
    .option('--json', 'Write the results as one line of JSON')
    .example('limelead load examples/mix.jsonc --url http://127.0.0.1:8080')
    .action((mix: string, options: LoadOptions) => finish(load(mix, options), options));
  program.help();
  try {
    program.parse(argv, { run: false });
    if (program.matchedCommand === undefined && program.options['help'] !== true) {
      program.outputHelp();
      process.exitCode = EXIT_CODES.usage;
      return;
    }
    await program.runMatchedCommand();
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    process.stderr.write(`limelead: ${message}\n`);
    process.exitCode = EXIT_CODES.usage;
  }
}

function defineCallerCommands(program: CAC): void {
  withConnection(program.command('generate <service> <prompt>', 'Stream an answer'))
    .option('--max-tokens <number>', 'Maximum tokens of the answer')
    .option('--priority <name>', "Priority; defaults to the service's priority")
    .option('--deadline-ms <number>', 'Deadline of the whole answer in milliseconds')
    .option('--pace <number>', 'Maximum tokens per second')
    .option('--request-id <id>', 'Id of the request')
    .example('limelead generate route-brief "Shift 3, water crews" --max-tokens 400')
    .action((service: string, prompt: string, options: GenerateOptions) =>
      finish(generate(service, prompt, options), options),
    );
  withConnection(program.command('call <service> <operation>', 'Call a plain service'))
    .option('--body <text>', 'Body of the call')
    .option('--repeatable', 'Allow the call to run more than once')
    .option('--request-id <id>', 'Id of the request; use the same id to retry by hand')
    .example('limelead call booking book-room --body \'{"room":4}\'')
    .action((service: string, operation: string, options: CallOptions) =>
      finish(call(service, operation, options), options),
    );
}

function defineOperatorCommands(program: CAC): void {
  withConnection(program.command('apply <file>', 'Change the configuration'))
    .option('--base <revision>', 'Revision on which the change is based')
    .option('--change-id <id>', 'Id of the change; a change with the same id is applied only once')
    .example('limelead apply change.jsonc --base 41')
    .action((file: string, options: ApplyOptions) => finish(apply(file, options), options));
  withConnection(program.command('get [kind]', 'Show the current configuration'))
    .example('limelead get organisation')
    .action((kind: string | undefined, options: ConnectionOptions) =>
      finish(get(kind, options), options),
    );
  withConnection(program.command('audit', 'Show who changed what, when and why'))
    .option('--limit <number>', 'Maximum number of changes shown')
    .option('--before <revision>', 'Only changes below this revision')
    .action((options: AuditOptions) => finish(audit(options), options));
  withConnection(program.command('watch', 'Stream the events of a VM'))
    .option('--request <id>', 'Only events of this request')
    .action((options: WatchOptions) => finish(watch(options), options));
  program
    .command('explain <id>', 'Explain how a request was served, from log lines on standard input')
    .option('--json', 'Write JSON')
    .example('cat vm-*.log | limelead explain c94c3facf4664d64')
    .action((id: string, options: ExplainOptions) => finish(explain(id, options), options));
  withConnection(
    program.command('status', 'Show the state of VMs and targets as one VM sees it'),
  ).action((options: ConnectionOptions) => finish(status(options), options));
}

function withConnection(command: ReturnType<CAC['command']>): ReturnType<CAC['command']> {
  return command
    .option('--url <urls>', 'Base URLs of VMs or of the load balancer (LIMELEAD_URL)')
    .option('--key <key>', 'Key of the organisation or operator (LIMELEAD_KEY)')
    .option('--json', 'Write JSON');
}

async function finish(run: Promise<number>, options: { json?: boolean }): Promise<void> {
  try {
    process.exitCode = await run;
  } catch (thrown) {
    process.exitCode = reportError(thrown, options.json === true);
  }
}
