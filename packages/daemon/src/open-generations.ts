/** The generations that are open on this VM, so that they can be cancelled and drained. */
import type Generation from '@limelead/run-generation';

/** Open generations by organisation and request. */
export default class OpenGenerations {
  private readonly generations = new Map<string, Set<Generation>>();
  private readonly emptyListeners: (() => void)[] = [];
  private count = 0;

  /** Number of open generations. */
  get size(): number {
    return this.count;
  }

  /** Adds a generation; gives the function that takes it out. */
  add(organisation: string, requestId: string, generation: Generation): () => void {
    const key = createKey(organisation, requestId);
    const same = this.generations.get(key) ?? new Set();
    same.add(generation);
    this.generations.set(key, same);
    this.count += 1;
    return () => this.remove(key, generation);
  }

  /** Cancels all generations of a request; says whether there were any. */
  cancel(organisation: string, requestId: string): boolean {
    const same = this.generations.get(createKey(organisation, requestId));
    same?.forEach((generation) => generation.cancel());
    return same !== undefined;
  }

  /** Asks every generation to go on elsewhere where its caller can. */
  drain(): void {
    for (const same of this.generations.values()) {
      same.forEach((generation) => generation.drain());
    }
  }

  /** Resolves once no generation is open. */
  whenEmpty(): Promise<void> {
    return this.count === 0
      ? Promise.resolve()
      : new Promise((resolve) => this.emptyListeners.push(resolve));
  }

  private remove(key: string, generation: Generation): void {
    const same = this.generations.get(key);
    if (same?.delete(generation) !== true) {
      return;
    }
    this.count -= 1;
    if (same.size === 0) {
      this.generations.delete(key);
    }
    if (this.count === 0) {
      this.emptyListeners.splice(0).forEach((listener) => listener());
    }
  }
}

function createKey(organisation: string, requestId: string): string {
  return JSON.stringify([organisation, requestId]);
}
