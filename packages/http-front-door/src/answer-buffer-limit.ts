/** The default limit on the bytes of answers that wait for their callers. Pure. */

const MEBIBYTE = 1024 * 1024;
/** Lowest limit; a single caller may use a quarter of it. */
const MIN_BUFFERED_ANSWER_BYTES = 4 * MEBIBYTE;
const MAX_BUFFERED_ANSWER_BYTES = 64 * MEBIBYTE;
/** Lowest and highest limit in bytes. */
export const BUFFERED_ANSWER_RANGE = [
  MIN_BUFFERED_ANSWER_BYTES,
  MAX_BUFFERED_ANSWER_BYTES,
] as const;
/** Part of a VM's memory that the process may use. */
const USABLE_MEMORY_SHARE = 0.5;
/** Part of the usable memory for answers that wait. */
const ANSWER_SHARE = 1 / 8;

/** Memory limits that the process can read, in bytes. */
export interface MemoryLimits {
  /** Limit of the control group; undefined or 0 if unknown, more than `totalBytes` if there is none. */
  constrainedBytes?: number;
  /** Memory of the machine. */
  totalBytes: number;
  /** Limit on the heap of the runtime. */
  heapLimitBytes: number;
}

/** Returns the default limit in bytes. */
export default function computeAnswerBufferLimit(limits: MemoryLimits): number {
  const bytes = Math.round(findMemoryLimit(limits) * USABLE_MEMORY_SHARE * ANSWER_SHARE);
  return Math.min(Math.max(bytes, MIN_BUFFERED_ANSWER_BYTES), MAX_BUFFERED_ANSWER_BYTES);
}

/**
 * The memory limit of the VM. Without a control group the process may see the memory of a larger
 * machine; then the heap limit, which is set for the VM, is taken as its usable memory.
 */
function findMemoryLimit({ constrainedBytes, totalBytes, heapLimitBytes }: MemoryLimits): number {
  const isConstrained = constrainedBytes !== undefined && constrainedBytes > 0;
  return isConstrained && constrainedBytes < totalBytes
    ? constrainedBytes
    : Math.min(totalBytes, heapLimitBytes / USABLE_MEMORY_SHARE);
}
