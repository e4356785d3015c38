import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ResponseSink from './response-sink.js';

/** Receives a request whose caller disconnects, and resolves once the server has noticed. */
async function receiveFromClosedCaller(): Promise<[IncomingMessage, ServerResponse, () => void]> {
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

test('a callback added after the caller disconnected is called at once', async () => {
  const [message, response, stop] = await receiveFromClosedCaller();
  const sink = new ResponseSink(message, response, {
    isStopping: () => false,
    onRefused: () => undefined,
  });
  let calls = 0;
  sink.onCallerLeft(() => (calls += 1));
  stop();
  assert.is(calls, 1);
});

test.run();
