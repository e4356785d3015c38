/** Authenticated links between VMs: typed messages over WebSocket with bounded queues. */
export { default as createPeerLinks } from './peer-links.js';
export type { PeerLinks, PeerLinksOptions, PeerAddress } from './peer-links.js';
export * from './messages.js';
export { default as answerMisdirected } from './misdirected.js';
