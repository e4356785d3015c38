import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ResponseSink from './response-sink.js';

/** Takes one request of a caller that closes its connection, and gives it once that was seen. */
async function takeFromLeavingCaller(): Promise<[IncomingMessage, ServerResponse, () => void]> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  const arrival = new Promise<[IncomingMessage, ServerResponse, () => void]>((resolve) =>
    server.once('request', (message, response) => {
      response.once('close', () => resolve([message, response, () => server.close()]));
      socket.destroy();
    }),
  );
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  return arrival;
}

test('who asks after the caller left is told that it is gone', async () => {
  const [message, response, stop] = await takeFromLeavingCaller();
  const sink = new ResponseSink(message, response, {
    isStopping: () => false,
    onRefused: () => undefined,
  });
  let told = 0;
  sink.onCallerLeft(() => (told += 1));
  stop();
  assert.is(told, 1);
});

test.run();
