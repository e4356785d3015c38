/** The list of VMs, which shows changes only after a lag. */
import type { Clock, ListedVm, VmList } from '@limelead/types';

/** The list with switches. */
export interface LaggedVmList {
  add(vm: ListedVm): void;
  setLeaving(id: string): void;
  remove(id: string): void;
  /** The list as it was `lagMs` ago. */
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
    const newest = versions.at(-1)?.list ?? { version: 0, vms: [] };
    const list = { version: newest.version + 1, vms: apply(newest.vms) };
    versions.push({ list, atMs: clock.now() });
  }

  return {
    add: (vm) => change((vms) => [...vms.filter(({ id }) => id !== vm.id), vm]),
    setLeaving: (id) =>
      change((vms) => vms.map((vm) => (vm.id === id ? { ...vm, leaving: true } : vm))),
    remove: (id) => change((vms) => vms.filter((vm) => vm.id !== id)),
    read() {
      const shown = clock.now() - lagMs;
      const index = versions.findLastIndex(({ atMs }) => atMs <= shown);
      versions = versions.slice(Math.max(0, index));
      return versions[0]?.list ?? { version: 0, vms: [] };
    },
  };
}
