/** Registry of the open generations of this VM, which can be cancelled or drained. */
import type Generation from '@limelead/run-generation';

/** Holds open generations by organisation and request id. */
export default class OpenGenerations {
  private readonly generations = new Map<string, Set<Generation>>();
  private readonly emptyListeners: (() => void)[] = [];
  private count = 0;

  /** Number of open generations. */
  get size(): number {
    return this.count;
  }

  /** Adds a generation; returns the function that removes it. */
  add(organisation: string, requestId: string, generation: Generation): () => void {
    const key = createKey(organisation, requestId);
    const generations = this.generations.get(key) ?? new Set();
    generations.add(generation);
    this.generations.set(key, generations);
    this.count += 1;
    return () => this.remove(key, generation);
  }

  /** Cancels all generations of a request; returns whether there were any. */
  cancel(organisation: string, requestId: string): boolean {
    const generations = this.generations.get(createKey(organisation, requestId));
    generations?.forEach((generation) => generation.cancel());
    return generations !== undefined;
  }

  /** Asks every generation to hand over to another VM if its caller supports that. */
  drain(): void {
    for (const generations of this.generations.values()) {
      generations.forEach((generation) => generation.drain());
    }
  }

  /** Ends every generation with an error. */
  stopAll(): void {
    for (const generations of this.generations.values()) {
      generations.forEach((generation) => generation.stop());
    }
  }

  /** Resolves once no generation is open. */
  whenEmpty(): Promise<void> {
    return this.count === 0
      ? Promise.resolve()
      : new Promise((resolve) => this.emptyListeners.push(resolve));
  }

  private remove(key: string, generation: Generation): void {
    const generations = this.generations.get(key);
    if (generations?.delete(generation) !== true) {
      return;
    }
    this.count -= 1;
    if (generations.size === 0) {
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
