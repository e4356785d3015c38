/** The RPC schema limelead.v1 and its generated code. */
export * from './generated/limelead/v1/errors_pb.js';
export * from './generated/limelead/v1/generation_pb.js';
export * from './generated/limelead/v1/calls_pb.js';
export * from './generated/limelead/v1/administration_pb.js';
export * from './generated/limelead/v1/observation_pb.js';
