import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Gossip from './gossip.js';
import type { ExchangeMessage } from './messages.js';
import PeerTable from './peer-table.js';

function create(chosen: string[]) {
  const peers = new PeerTable({ now: () => 0 });
  ['ring', 'scheduler', 'asker'].forEach((peer) => peers.add(peer));
  const sent: string[] = [];
  const describe = (message: ExchangeMessage): string =>
    message.kind === 'heartbeat' ? `heartbeat of ${message.members.length}` : message.kind;
  const gossip = new Gossip({
    peers,
    readSyncState: () => ({
      revision: 1,
      configuration: 1,
      configurationBytes: 1,
      isStoreAnswering: true,
      hasStoreCallFailed: false,
    }),
    isInOtherRegion: (peer) => peer === 'far',
    listRegionMembers: () => [{ id: 'c', ageMs: 0, region: 'here' }],
    listUnreachableRegions: () => [],
    composeMarks: () => undefined,
    isChosenPeer: (peer) => chosen.includes(peer),
    listAllMembers: () => [
      { id: 'a', ageMs: 0 },
      { id: 'b', ageMs: 0 },
    ],
    broadcast: (message, to) => to.forEach((peer) => sent.push(`${peer}: ${describe(message)}`)),
  });
  return { gossip, sent, peers };
}

test('a link that neither end chose carries pulses, others carry a heartbeat that lists all members once', () => {
  const { gossip, sent, peers } = create(['ring']);
  gossip.sendHeartbeats(peers.list(), []);
  gossip.sendHeartbeats(['ring'], []);
  assert.equal(sent, [
    'scheduler: pulse',
    'asker: pulse',
    'ring: heartbeat of 2',
    'ring: heartbeat of 0',
  ]);
  assert.equal(gossip.listPeers(), ['ring']);
});

test('a peer that chose this VM gets all members at once, and leaves gossip when it chooses others', () => {
  const { gossip, sent } = create(['ring']);
  gossip.onPeerChoice('asker', true);
  assert.equal(sent, ['asker: heartbeat of 2']);
  assert.equal(gossip.listPeers(), ['ring', 'asker']);
  gossip.onPeerChoice('asker', false);
  assert.equal(gossip.listPeers(), ['ring']);
});

test('a peer in another region gets all members of the own region each time', () => {
  const { gossip, sent, peers } = create(['far']);
  peers.add('far');
  gossip.sendHeartbeats(['far'], []);
  gossip.sendHeartbeats(['far'], []);
  assert.equal(sent, ['far: heartbeat of 2', 'far: heartbeat of 1']);
});

test.run();
