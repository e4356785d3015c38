/** Selects the few VMs that watch the configuration store and may control placement. */
import { chooseConfigurationWatchers } from '@limelead/track-members';
import type { VmContext } from './vm-context.js';

/** Returns whether this VM is a watcher, given the VMs that are present now. */
export default function isWatcher({ members, clock, settings }: VmContext): boolean {
  const present = members.present(clock.now()).map(({ id }) => id);
  return chooseConfigurationWatchers([...present, settings.id]).includes(settings.id);
}
