/**
 * Rolling restart of the VMs while each answers streams that may not be repeated. Their workers are
 * sound: they preempt each run once, in the middle of its stream, and read it anew.
 * Exit: 1 if LOST was broken, 0 if it held, 2 if the case could not run.
 */
import send, { listEvents } from '../lib/client.js';
import { HOST, KEY } from '../lib/configuration.js';
import { Record, runCase } from '../lib/deployment.js';
import { BOUNDS, sleep } from '../lib/vm.js';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const [PROMPT_TOKENS, OUT_TOKENS] = [7_000, 300];
const EVENTS = OUT_TOKENS / 5;
/** A run is preempted behind this event, waits for room and is read anew, 5 tokens a ms. */
const PREEMPTED_BEHIND = 20;
const ROOM_MS = 500;
const PREEMPTED_MS = ROOM_MS + (PROMPT_TOKENS + PREEMPTED_BEHIND * 5) / 5;
/** The streams are sent this long before the SIGTERM. */
const LEAD_MS = 500;
/** From one SIGTERM to the next machine's streams. */
const GAP_MS = 1_000;
const TIMEOUT_MS = 25_000;

const record = new Record();
/** Requests on which a worker has begun work. */
const begun = new Set();
/** Requests that were preempted; each is once. */
const preempted = new Set();

function onWorkerEvent(kind, worker, { id, made }) {
  record.add(`worker ${worker.id}: ${id} ${kind}, ${made} events made`);
  if (kind === 'began') {
    begun.add(id);
  }
}

function findPause({ id, made }) {
  if (made !== PREEMPTED_BEHIND || preempted.has(id)) {
    return 0;
  }
  preempted.add(id);
  record.add(`worker: ${id} is preempted and read anew, ${PREEMPTED_MS} ms`);
  return PREEMPTED_MS;
}

async function sendStream(vm, route) {
  const id = `${route}-${vm.host}`;
  record.add(`client: ${id} sent to ${vm.host}`);
  const headers = {
    ...{ Host: HOST, 'Request-Id': id, 'Deadline-Ms': `${TIMEOUT_MS}`, 'X-Api-Key': KEY },
    ...{ Model: 'm', 'Token-Count': `${PROMPT_TOKENS},${OUT_TOKENS}` },
    'Prompt-Prefix': `5c1e07a2:200,${Buffer.from(id).toString('hex').slice(-8)}:6800`,
  };
  const answer = await send({ host: vm.host, path: `/${route}/2f`, headers });
  const events = listEvents(answer.text);
  const end = answer.isWhole ? 'whole' : `cut (${answer.error})`;
  record.add(`client: ${id} status ${answer.status}, ${end}, events up to ${events.at(-1) ?? 0}`);
  return { id, vm, ...answer, events: events.length };
}

/** LOST, around a SIGTERM of the machine that took the request, with its excuses. */
function isLost({ id, vm, status, isWhole, sentAt, endedAt }) {
  const { graceS } = BOUNDS;
  const { stoppedAt = Infinity } = vm;
  const sinceStopS = (endedAt - stoppedAt) / 1_000;
  const isPlanned = sinceStopS >= 0 && sinceStopS <= graceS + 1;
  const isComplete = isWhole && status !== 0;
  const isAtEndOfGrace = sinceStopS >= (graceS * 5) / 6 && sentAt <= stoppedAt + 3_000;
  const isTimedOut = endedAt - sentAt >= TIMEOUT_MS;
  return isPlanned && !isComplete && begun.has(id) && !isAtEndOfGrace && !isTimedOut;
}

function stopAndStart(vm) {
  record.add(`SIGTERM to ${vm.host}`);
  vm.stoppedAt = performance.now();
  vm.signal('SIGTERM');
  return vm.exited.then((code) => {
    record.add(`${vm.host} ended with ${code} and is started again`);
    vm.start();
  });
}

async function play(vms) {
  const answers = [];
  const restarts = [];
  for (const vm of vms) {
    answers.push(sendStream(vm, 'reroute'), sendStream(vm, 'shift'));
    await sleep(LEAD_MS);
    if (HAS_TROUBLE) {
      restarts.push(stopAndStart(vm));
    }
    await sleep(GAP_MS);
  }
  const ended = await Promise.all(answers);
  await Promise.all(restarts);
  const lost = ended.filter(isLost);
  const whole = ended.filter(({ isWhole, events }) => isWhole && events === EVENTS);
  const cut = ended.filter(({ isWhole }) => !isWhole);
  record.add(`streams: ${ended.length} sent, ${whole.length} whole, ${cut.length} cut`);
  lost.forEach(({ id }) => record.add(`LOST broken: ${id}`));
  if (!ended.every(({ id }) => begun.has(id))) {
    return 2;
  }
  return lost.length > 0 ? 1 : 0;
}

await runCase(record, new URL('record.txt', import.meta.url), {
  createBehaviour: () => ({ findPause, dropsClosed: true }),
  onWorkerEvent,
  play,
});
