/** HTTP adapters for the ports. They send each request at most once. */
export { default as createHttpTransport, type HttpTransport } from './http-transport.js';
export { default as createHttpTargetConnector } from './target-connector.js';
export { default as createHttpKeyValueStore } from './key-value-store.js';
export { default as createHttpVmListSource } from './vm-list-source.js';
export { default as createHttpWeightStore } from './weight-store.js';
