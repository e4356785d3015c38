/**
 * Bounds the request bodies that this VM has in progress at one target, since a target whose
 * requests grow beyond its memory terminates.
 */
export default class TargetBodyBytes {
  private readonly bytes = new Map<string, number>();

  /** @param readLimit bytes that this VM may have in progress at one target */
  constructor(private readonly readLimit: () => number) {}

  /** Whether no body is in progress anywhere. */
  get isEmpty(): boolean {
    return this.bytes.size === 0;
  }

  /** Whether a body stays within the bound. One request is always allowed. */
  hasRoom(target: string, bodyBytes: number): boolean {
    const held = this.bytes.get(target) ?? 0;
    return held === 0 || bodyBytes === 0 || held + bodyBytes <= this.readLimit();
  }

  /** Counts a body; returns a function that ends it. */
  hold(target: string, bodyBytes: number): () => void {
    this.add(target, bodyBytes);
    let left = bodyBytes;
    return () => {
      this.add(target, -left);
      left = 0;
    };
  }

  private add(target: string, bytes: number): void {
    const held = (this.bytes.get(target) ?? 0) + bytes;
    if (held === 0) {
      this.bytes.delete(target);
    } else {
      this.bytes.set(target, held);
    }
  }
}
