/** A list of VMs that shows changes after a delay. */
import type { Clock, ListedVm, VmList } from '@limelead/types';

/** Operations on the list; readers see changes after the delay. */
export interface LaggedVmList {
  add(vm: ListedVm): void;
  setLeaving(id: string): void;
  remove(id: string): void;
  /** Returns the list as it was `lagMs` ago. */
  read(): VmList;
}

interface DatedList {
  list: VmList;
  atMs: number;
}

/** Creates an empty list. */
export default function createLaggedVmList(clock: Clock, lagMs: number): LaggedVmList {
  let versions: DatedList[] = [{ list: { version: 1, vms: [] }, atMs: Number.NEGATIVE_INFINITY }];

  function change(apply: (vms: ListedVm[]) => ListedVm[]): void {
    const latest = versions.at(-1)?.list ?? { version: 0, vms: [] };
    const list = { version: latest.version + 1, vms: apply(latest.vms) };
    versions.push({ list, atMs: clock.now() });
  }

  return {
    add: (vm) => change((vms) => [...vms.filter(({ id }) => id !== vm.id), vm]),
    setLeaving: (id) =>
      change((vms) => vms.map((vm) => (vm.id === id ? { ...vm, leaving: true } : vm))),
    remove: (id) => change((vms) => vms.filter((vm) => vm.id !== id)),
    read() {
      const visibleUntilMs = clock.now() - lagMs;
      const index = versions.findLastIndex(({ atMs }) => atMs <= visibleUntilMs);
      versions = versions.slice(Math.max(0, index));
      return versions[0]?.list ?? { version: 0, vms: [] };
    },
  };
}
