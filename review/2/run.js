/**
 * One of seven model workers turns slow while streams run. It is one of those workers that do not
 * drop a request when its connection closes.
 * Exit: 1 if TWICE was broken, 0 if it held, 2 if the case could not run.
 */
import send, { listEvents } from '../lib/client.js';
import { HOST, KEY } from '../lib/configuration.js';
import { Record, runCase } from '../lib/deployment.js';
import { sleep } from '../lib/vm.js';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SLOW = { engine: 'i-e0', factor: 5, fromMs: 4_000, forMs: 6_500 };
const STREAMS_PER_S = 4;
const PLAY_MS = 14_000;
/** The rule: the earlier worker is still at work this long after the request goes on elsewhere. */
const STILL_AFTER_MS = 400;
/** Time for workers to end what no client waits for. */
const LAST_RUNS_MS = 12_000;

const record = new Record();
/** Runs by request: worker, when the request arrived there, and when the worker's work ended. */
const runs = new Map();
let isSlow = false;

function onWorkerEvent(kind, worker, { id, made }) {
  record.add(`worker ${worker.id}: ${id} ${kind}, ${made} events made`);
  if (kind === 'arrived') {
    runs.set(id, [...(runs.get(id) ?? []), { worker, fromMs: record.at(), untilMs: Infinity }]);
  } else if (kind === 'whole' || kind === 'dropped') {
    const run = runs.get(id).find((one) => one.worker === worker && one.untilMs === Infinity);
    run.untilMs = record.at();
  }
}

async function sendStream(vm, number) {
  const id = `shift-${number}`;
  const headers = {
    ...{ Host: HOST, 'Request-Id': id, 'Deadline-Ms': '25000', 'X-Api-Key': KEY, Model: 'm' },
    'Token-Count': '5000,700',
    'Prompt-Prefix': `5c1e07a2:200,${Buffer.from(id).toString('hex').slice(-8)}:4800`,
  };
  record.add(`client: ${id} sent to ${vm.host}`);
  const answer = await send({ host: vm.host, path: '/shift/2f', headers });
  const last = listEvents(answer.text).at(-1) ?? 0;
  const end = answer.isWhole ? 'whole' : `cut (${answer.error})`;
  record.add(`client: ${id} status ${answer.status}, ${end}, events up to ${last}`);
}

/** Pairs of runs of one request of which the earlier one went on too long. */
function findTwice() {
  return [...runs].flatMap(([id, all]) =>
    all.flatMap((later, index) =>
      all
        .slice(0, index)
        .filter(({ worker }) => worker !== later.worker)
        .filter(({ untilMs }) => untilMs > later.fromMs + STILL_AFTER_MS)
        .map((earlier) => ({ id, earlier, later })),
    ),
  );
}

function slowDownFor(milliseconds) {
  isSlow = HAS_TROUBLE;
  record.add(`worker ${SLOW.engine} ${HAS_TROUBLE ? 'turns slow' : 'stays as it is'}`);
  setTimeout(() => {
    isSlow = false;
    record.add(`worker ${SLOW.engine} works as usual`);
  }, milliseconds);
}

async function play(vms) {
  const sent = [];
  const beganAt = performance.now();
  setTimeout(() => slowDownFor(SLOW.forMs), SLOW.fromMs);
  for (let number = 0; performance.now() - beganAt < PLAY_MS; number += 1) {
    sent.push(sendStream(vms[number % vms.length], number));
    await sleep(1_000 / STREAMS_PER_S);
  }
  await Promise.all(sent);
  await sleep(LAST_RUNS_MS);
  const twice = findTwice();
  twice.forEach(({ id, earlier, later }) =>
    record.add(
      `TWICE broken: ${id} at ${later.worker.id} since ${later.fromMs} ms, ` +
        `at ${earlier.worker.id} until ${earlier.untilMs} ms`,
    ),
  );
  record.add(`${runs.size} requests, ${twice.length} pairs of runs at once`);
  return twice.length > 0 ? 1 : 0;
}

await runCase(record, new URL('record.txt', import.meta.url), {
  createBehaviour: (id) => ({
    slowness: () => (isSlow && id === SLOW.engine ? SLOW.factor : 1),
    dropsClosed: id !== SLOW.engine,
  }),
  onWorkerEvent,
  play,
});
