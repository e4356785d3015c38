/** Whether this VM is one of the few that watch the configuration and may do placement. */
import { chooseConfigurationWatchers } from '@limelead/track-members';
import type { VmContext } from './vm-context.js';

/** Decided from the VMs that are present now. */
export default function isWatcher({ members, clock, settings }: VmContext): boolean {
  const present = members.present(clock.now()).map(({ id }) => id);
  return chooseConfigurationWatchers([...present, settings.id]).includes(settings.id);
}
